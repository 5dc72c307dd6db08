package config

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// countingBatch counts the bytes that a change reads from and writes to a batch.
type countingBatch struct {
	kv.Batch
	writtenBytes, readBytes int
}

func (b *countingBatch) Set(key, value []byte) {
	b.writtenBytes += len(key) + len(value)
	b.Batch.Set(key, value)
}

func (b *countingBatch) Get(key []byte) ([]byte, bool) {
	value, ok := b.Batch.Get(key)
	b.readBytes += len(value)
	return value, ok
}

// addProfiles adds a number of profiles to the configuration.
func (s *testState) addProfiles(documents int) {
	for first := 0; first < documents; first += MaxOps {
		c := newChange(fmt.Sprint("fill-", first))
		for i := first; i < min(first+MaxOps, documents); i++ {
			c.Ops = append(c.Ops, putOp(0, newProfile(fmt.Sprint("p", i), "online", 1)))
		}
		if s.change(c).GetOutcome() != accepted {
			panic("the change that adds profiles was not accepted")
		}
	}
}

// BenchmarkChange measures one change for several sizes of the configuration: the
// time, the bytes read and written, and the size of the resulting update.
func BenchmarkChange(b *testing.B) {
	for _, documents := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("documents=%d", documents), func(b *testing.B) {
			s := newTestState()
			s.addProfiles(documents)
			revision := s.state.Revision(s.store)
			expected := s.state.Query(s.store, &pb.ConfigQuery{Name: "profile/p5"}).GetDocuments()[0].GetRevision()
			written, read, update := 0, 0, 0
			doc := newProfile("p5", "online", 0)
			for b.Loop() {
				doc.GetProfile().Priority = uint32((revision + 2) % 1000)
				batch := &countingBatch{Batch: s.store.NewBatch()}
				c := newChange(fmt.Sprint(revision), putOp(expected, doc))
				if s.state.ApplyChange(batch, c, s.now).GetOutcome() != accepted {
					b.Fatal("the change was not accepted")
				}
				if err := s.store.Commit(batch.Batch, true); err != nil {
					b.Fatal(err)
				}
				update += proto.Size(s.state.UpdateSince(s.store, revision))
				revision++
				expected = revision
				written += batch.writtenBytes
				read += batch.readBytes
			}
			b.ReportMetric(float64(written)/float64(b.N), "written-bytes/change")
			b.ReportMetric(float64(read)/float64(b.N), "read-bytes/change")
			b.ReportMetric(float64(update)/float64(b.N), "update-bytes/change")
		})
	}
}

// BenchmarkTableApply measures one update of a table for several sizes of the
// table.
func BenchmarkTableApply(b *testing.B) {
	for _, documents := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("documents=%d", documents), func(b *testing.B) {
			s := newTestState()
			s.addProfiles(documents)
			table := NewTable()
			table.Apply(s.state.UpdateSince(s.store, 0))
			doc := newProfile("p5", "online", 3)
			for b.Loop() {
				next := table.Revision() + 1
				u := &pb.ConfigUpdate{Base: next - 1, Revision: next, Documents: []*pb.Document{doc}}
				if table.Apply(u) != Applied {
					b.Fatal("the update was not applied")
				}
			}
		})
	}
}
