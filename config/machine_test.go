package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// reference is a plain model of the configuration: whole copies, no index.
type reference struct {
	revision uint64
	docs     map[string]*pb.Document
	answers  map[string]*pb.ChangeResult
	changes  map[string]*pb.ConfigChange
	// past holds the documents at each revision.
	past []map[string]*pb.Document
}

func newReference() *reference {
	return &reference{
		docs:    map[string]*pb.Document{},
		answers: map[string]*pb.ChangeResult{},
		changes: map[string]*pb.ConfigChange{},
		past:    []map[string]*pb.Document{{}},
	}
}

// change returns the expected outcome and revision.
func (r *reference) change(c *pb.ConfigChange) (pb.ChangeOutcome, uint64) {
	if first, ok := r.answers[c.GetChangeId()]; ok {
		if !proto.Equal(r.changes[c.GetChangeId()], c) {
			return refused, r.revision
		}
		return first.GetOutcome(), first.GetRevision()
	}
	outcome := r.decide(c)
	r.changes[c.GetChangeId()] = c
	r.answers[c.GetChangeId()] = &pb.ChangeResult{Outcome: outcome, Revision: r.revision}
	return outcome, r.revision
}

func (r *reference) decide(c *pb.ConfigChange) pb.ChangeOutcome {
	next := maps.Clone(r.docs)
	touched := map[string]bool{}
	conflicting, missing, changed := false, false, false
	for _, op := range c.GetOps() {
		key := op.GetDelete()
		if op.GetPut() != nil {
			key = Key(op.GetPut())
		}
		if touched[key] {
			return refused
		}
		touched[key] = true
		held := r.docs[key]
		conflicting = conflicting || held.GetRevision() != op.GetExpectedRevision()
		if op.GetPut() == nil {
			missing = missing || held == nil
			delete(next, key)
			changed = true
			continue
		}
		doc := proto.CloneOf(op.GetPut())
		doc.Revision = held.GetRevision()
		if held == nil || !proto.Equal(held, doc) {
			doc.Revision = r.revision + 1
			changed = true
		}
		next[key] = doc
	}
	if conflicting {
		return conflicts
	}
	if missing || !consistent(next) {
		return refused
	}
	if changed {
		r.revision++
		r.docs = next
		r.past = append(r.past, next)
	}
	return accepted
}

// consistent checks every reference of a configuration.
func consistent(docs map[string]*pb.Document) bool {
	for _, doc := range docs {
		s := doc.GetService()
		if s == nil {
			continue
		}
		online := docs[ProfileKey(s.GetProfile())].GetProfile()
		if online.GetServiceClass() != pb.ServiceClass_CLASS_ONLINE {
			return false
		}
		batch := docs[ProfileKey(s.GetBatchProfile())].GetProfile()
		if s.GetBatchProfile() != "" && batch.GetServiceClass() != pb.ServiceClass_CLASS_BATCH {
			return false
		}
	}
	return true
}

// machine drives a state, its copies at daemons, and the reference.
type machine struct {
	bench   *bench
	want    *reference
	sent    []*pb.ConfigChange
	updates []*pb.ConfigUpdate
	tables  []*Table
}

func TestStateAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{bench: newBench(), want: newReference()}
		for range 3 {
			m.tables = append(m.tables, NewTable())
		}
		t.Repeat(map[string]func(*rapid.T){
			"change":  m.change,
			"resend":  m.resend,
			"restore": m.restore,
			"publish": m.publish,
			"deliver": m.deliver,
			"":        m.check,
		})
	})
}

func (m *machine) change(t *rapid.T) {
	count := rapid.IntRange(1, 3).Draw(t, "ops")
	id := rapid.IntRange(0, 200).Draw(t, "id")
	c := change(fmt.Sprint(id))
	for range count {
		c.Ops = append(c.Ops, m.op(t))
	}
	m.apply(t, c)
}

// op draws an operation that mostly edits the accepted revision.
func (m *machine) op(t *rapid.T) *pb.ConfigOp {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	doc := m.document(t, name)
	key := Key(doc)
	expected := m.want.docs[key].GetRevision()
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		expected = rapid.Uint64Range(0, m.want.revision+1).Draw(t, "expected")
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		return remove(expected, key)
	}
	return put(expected, doc)
}

func (m *machine) document(t *rapid.T, name string) *pb.Document {
	if rapid.Bool().Draw(t, "profile") {
		class := rapid.SampledFrom([]string{"online", "batch"}).Draw(t, "class")
		return profile(name, class, rapid.IntRange(1, 3).Draw(t, "priority"))
	}
	doc := service(name, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "online"))
	doc.GetService().BatchProfile = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "batch")
	return doc
}

// resend repeats an earlier change, as through another daemon.
func (m *machine) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing was sent")
	}
	m.apply(t, rapid.SampledFrom(m.sent).Draw(t, "change"))
}

func (m *machine) apply(t *rapid.T, c *pb.ConfigChange) {
	m.sent = append(m.sent, c)
	outcome, revision := m.want.change(c)
	got := m.bench.change(c)
	if got.GetOutcome() != outcome || got.GetRevision() != revision {
		t.Fatalf("got %s at revision %d, want %s at %d", got.GetOutcome(), got.GetRevision(), outcome, revision)
	}
	if outcome == conflicts && got.GetReason() == "" {
		t.Fatalf("a conflict without a reason")
	}
}

// restore moves the state into a new store, as a snapshot does.
func (m *machine) restore(t *rapid.T) {
	store := kv.NewMemoryStore()
	b := store.NewBatch()
	m.bench.store.Scan(nil, nil, func(key, value []byte) bool {
		b.Set(slices.Clone(key), slices.Clone(value))
		return true
	})
	if err := store.Commit(b, true); err != nil {
		t.Fatal(err)
	}
	m.bench.store = store
}

// publish makes an update from any earlier revision.
func (m *machine) publish(t *rapid.T) {
	from := rapid.Uint64Range(0, m.want.revision).Draw(t, "from")
	update := m.bench.state.UpdateSince(m.bench.store, from)
	if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
		update = &pb.ConfigUpdate{
			Revision:  m.want.revision,
			Snapshot:  true,
			Documents: m.bench.state.Query(m.bench.store, &pb.ConfigQuery{}).GetDocuments(),
		}
	}
	m.updates = append(m.updates, update)
}

// deliver gives any update, in any order and any number of times, to a table.
func (m *machine) deliver(t *rapid.T) {
	if len(m.updates) == 0 {
		t.Skip("nothing was published")
	}
	table := rapid.SampledFrom(m.tables).Draw(t, "table")
	update := rapid.SampledFrom(m.updates).Draw(t, "update")
	before := table.Revision()
	outcome := table.Apply(update)
	if table.Revision() < before {
		t.Fatalf("revision went from %d to %d", before, table.Revision())
	}
	if outcome == Applied && table.Revision() != update.GetRevision() {
		t.Fatalf("applied update %d, holds %d", update.GetRevision(), table.Revision())
	}
	if outcome == Gap && update.GetBase() <= before {
		t.Fatalf("gap reported for base %d at revision %d", update.GetBase(), before)
	}
}

func (m *machine) check(t *rapid.T) {
	answer := m.bench.state.Query(m.bench.store, &pb.ConfigQuery{})
	if answer.GetRevision() != m.want.revision {
		t.Fatalf("revision %d, want %d", answer.GetRevision(), m.want.revision)
	}
	compare(t, answer.GetDocuments(), m.want.docs)
	size := uint64(0)
	for _, doc := range answer.GetDocuments() {
		size += documentBytes(doc)
	}
	if counted := bytesNumber.Get(m.bench.store); counted != size {
		t.Fatalf("%d bytes counted, %d stored", counted, size)
	}
	for _, table := range m.tables {
		compare(t, documentsOf(table, m.want.past[table.Revision()]), m.want.past[table.Revision()])
	}
}

// documentsOf returns the documents of a table, with the revisions of the
// reference, which a table does not keep.
func documentsOf(table *Table, want map[string]*pb.Document) []*pb.Document {
	var docs []*pb.Document
	for _, p := range table.profiles.Values() {
		docs = append(docs, &pb.Document{Body: &pb.Document_Profile{Profile: p}})
	}
	for _, s := range table.Services() {
		docs = append(docs, &pb.Document{Body: &pb.Document_Service{Service: s}})
	}
	for _, doc := range docs {
		doc.Revision = want[Key(doc)].GetRevision()
	}
	return docs
}

func compare(t *rapid.T, got []*pb.Document, want map[string]*pb.Document) {
	if len(got) != len(want) {
		t.Fatalf("%d documents, want %d", len(got), len(want))
	}
	for _, doc := range got {
		if !proto.Equal(doc, want[Key(doc)]) {
			t.Fatalf("%s differs: %v, want %v", Key(doc), doc, want[Key(doc)])
		}
	}
}
