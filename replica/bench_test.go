package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

const benchEntryBytes = 300

func benchEntries(first uint64, n int) []*pb.LogEntry {
	var entries []*pb.LogEntry
	for i := range n {
		entries = append(entries, &pb.LogEntry{Term: 1, Index: first + uint64(i), Data: make([]byte, benchEntryBytes)})
	}
	return entries
}

func reportEntries(b *testing.B, perSync int) {
	b.ReportMetric(float64(b.N*perSync)/b.Elapsed().Seconds(), "entries/s")
}

// BenchmarkGroupCommit compares one sync per entry with one sync for many
// entries, on pebble and on bbolt.
func BenchmarkGroupCommit(b *testing.B) {
	for _, perSync := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("pebble/entries=%d", perSync), func(b *testing.B) { benchPebble(b, perSync) })
		b.Run(fmt.Sprintf("bbolt/entries=%d", perSync), func(b *testing.B) { benchBbolt(b, perSync) })
	}
}

func benchPebble(b *testing.B, perSync int) {
	store, err := kv.OpenDiskStore(b.TempDir(), nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	s, _, err := loadStorage(store)
	if err != nil {
		b.Fatal(err)
	}
	next := uint64(1)
	for b.Loop() {
		if err := s.write([]writeItem{quorum.Save{Entries: benchEntries(next, perSync)}}); err != nil {
			b.Fatal(err)
		}
		next += uint64(perSync)
	}
	reportEntries(b, perSync)
}

func benchBbolt(b *testing.B, perSync int) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "bolt"), fileMode, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	next := uint64(1)
	for b.Loop() {
		err := db.Update(func(tx *bbolt.Tx) error { return putBbolt(tx, benchEntries(next, perSync)) })
		if err != nil {
			b.Fatal(err)
		}
		next += uint64(perSync)
	}
	reportEntries(b, perSync)
}

func putBbolt(tx *bbolt.Tx, entries []*pb.LogEntry) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte(prefixLog))
	if err != nil {
		return err
	}
	for _, e := range entries {
		raw, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if err := bucket.Put(logKey(e.Index), addChecksum(logKey(e.Index), raw)); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkPropose measures the throughput of commands with three replicas on
// disk in one process. With one client, each entry has a sync of its own.
func BenchmarkPropose(b *testing.B) {
	for _, clients := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) { benchPropose(b, clients) })
	}
}

func benchPropose(b *testing.B, clients int) {
	g := newGroup(b)
	root := b.TempDir()
	openThreeReplicas(g, func(id string) string { return filepath.Join(root, id) })
	defer g.closeAll()
	g.propose(claimCommand("key", "value"))
	leader := g.leader()
	work := make(chan int)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for i := range work {
				if _, err := leader.Propose(context.Background(), claimCommand(fmt.Sprint(i%1000), "value")); err != nil {
					b.Error(err)
				}
			}
		})
	}
	b.ResetTimer()
	for i := range b.N {
		work <- i
	}
	close(work)
	group.Wait()
	b.StopTimer()
	reportEntries(b, 1)
}

// BenchmarkElection measures, in the simulation, the time from a leader's crash
// to the next acknowledged write, in election timeouts.
func BenchmarkElection(b *testing.B) {
	const electionTimeout = quorum.DefaultElectionTicks * simTick
	var times []float64
	for seed := range b.N {
		cl := newCluster(uint64(seed))
		for _, n := range cl.nodes {
			n.tickInterval = simTick
		}
		cl.runUntil(10_000, func() bool { return cl.leader() != nil && cl.checker.acknowledged > 3 })
		for _, c := range cl.clients {
			c.stopped = true
		}
		cl.runFor(2000 + cl.rand.IntN(200))
		crashed := cl.now
		cl.leader().crash()
		cl.awaitWrite()
		times = append(times, float64(cl.now-crashed)/electionTimeout)
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], "median-timeouts")
	b.ReportMetric(times[len(times)*99/100], "p99-timeouts")
}

// awaitWrite sends writes to the leader, as soon as there is one, until a write
// succeeds.
func (cl *cluster) awaitWrite() {
	probe := &simClient{cluster: cl, id: len(cl.clients), stopped: true}
	cl.clients = append(cl.clients, probe)
	for before := cl.checker.acknowledged; cl.checker.acknowledged == before; cl.runFor(1) {
		if leader := cl.leader(); leader != nil && !probe.isBusy() {
			probe.startWrite(leader, "key0")
		}
	}
}

// BenchmarkRestart measures the time to open a store with a log of the given
// length, with all entries already applied and with the whole log to replay.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("entries=%d/state=kept", entries), func(b *testing.B) { benchRestart(b, entries, entries) })
		b.Run(fmt.Sprintf("entries=%d/state=replayed", entries), func(b *testing.B) { benchRestart(b, entries, 0) })
	}
}

func benchRestart(b *testing.B, entries, applied int) {
	folder := b.TempDir()
	fillFolder(b, folder, entries, applied)
	for b.Loop() {
		store, s, stored := openFilledFolder(b, folder)
		pending := stored.Entries[s.appliedMeta.Index:]
		for len(pending) > 0 {
			n := min(len(pending), maxApplyEntries)
			if _, err := s.apply(claimStateMachine{}, pending[:n]); err != nil {
				b.Fatal(err)
			}
			pending = pending[n:]
		}
		b.StopTimer()
		if err := store.Close(); err != nil {
			b.Fatal(err)
		}
		if applied < entries {
			deleteAppliedRecord(b, folder)
		}
		b.StartTimer()
	}
}

func openFilledFolder(b *testing.B, folder string) (*kv.DiskStore, *storage, quorum.Stored) {
	store, err := kv.OpenDiskStore(folder, nil)
	if err != nil {
		b.Fatal(err)
	}
	s, stored, err := loadStorage(store)
	if err != nil {
		b.Fatal(err)
	}
	return store, s, stored
}

func fillFolder(b *testing.B, folder string, entries, applied int) {
	store, s, _ := openFilledFolder(b, folder)
	data, err := proto.Marshal(claimCommand("key", string(make([]byte, benchEntryBytes))))
	if err != nil {
		b.Fatal(err)
	}
	log := benchEntries(1, entries)
	for _, e := range log {
		e.Data = data
	}
	if err := s.write([]writeItem{quorum.Save{Entries: log}}); err != nil {
		b.Fatal(err)
	}
	if applied > 0 {
		if _, err := s.apply(claimStateMachine{}, log[:applied]); err != nil {
			b.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}

func deleteAppliedRecord(b *testing.B, folder string) {
	store, _, _ := openFilledFolder(b, folder)
	batch := store.NewBatch()
	batch.Delete([]byte(keyApplied))
	if err := store.Commit(batch, true); err != nil {
		b.Fatal(err)
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}
