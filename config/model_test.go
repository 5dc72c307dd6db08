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

// referenceModel is a simple model of State: it keeps a full copy of the documents
// at each revision and no index.
type referenceModel struct {
	revision uint64
	docs     map[string]*pb.Document
	results  map[string]*pb.ChangeResult
	changes  map[string]*pb.ConfigChange
	// docsAtRevision holds the documents by key at each revision.
	docsAtRevision []map[string]*pb.Document
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		docs:           map[string]*pb.Document{},
		results:        map[string]*pb.ChangeResult{},
		changes:        map[string]*pb.ConfigChange{},
		docsAtRevision: []map[string]*pb.Document{{}},
	}
}

// change applies a change and returns the expected outcome and revision.
func (r *referenceModel) change(c *pb.ConfigChange) (pb.ChangeOutcome, uint64) {
	if first, ok := r.results[c.GetChangeId()]; ok {
		if !proto.Equal(r.changes[c.GetChangeId()], c) {
			return invalid, r.revision
		}
		return first.GetOutcome(), first.GetRevision()
	}
	outcome := r.decide(c)
	r.changes[c.GetChangeId()] = c
	r.results[c.GetChangeId()] = &pb.ChangeResult{Outcome: outcome, Revision: r.revision}
	return outcome, r.revision
}

func (r *referenceModel) decide(c *pb.ConfigChange) pb.ChangeOutcome {
	docs := maps.Clone(r.docs)
	touched := map[string]bool{}
	conflicting, missing, changed := false, false, false
	for _, op := range c.GetOps() {
		key := op.GetDelete()
		if op.GetPut() != nil {
			key = Key(op.GetPut())
		}
		if touched[key] {
			return invalid
		}
		touched[key] = true
		existing := r.docs[key]
		conflicting = conflicting || existing.GetRevision() != op.GetExpectedRevision()
		if op.GetPut() == nil {
			missing = missing || existing == nil
			delete(docs, key)
			changed = true
			continue
		}
		doc := proto.CloneOf(op.GetPut())
		doc.Revision = existing.GetRevision()
		if existing == nil || !proto.Equal(existing, doc) {
			doc.Revision = r.revision + 1
			changed = true
		}
		docs[key] = doc
	}
	if conflicting {
		return conflicted
	}
	if missing || !referencesValid(docs) {
		return invalid
	}
	if changed {
		r.revision++
		r.docs = docs
		r.docsAtRevision = append(r.docsAtRevision, docs)
	}
	return accepted
}

// referencesValid reports whether every service refers to profiles that exist and
// have the right class.
func referencesValid(docs map[string]*pb.Document) bool {
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

// modelTest compares a State and tables that receive its updates with a model.
type modelTest struct {
	actual    *testState
	model     *referenceModel
	sent      []*pb.ConfigChange
	published []*pb.ConfigUpdate
	tables    []*Table
}

func TestStateAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelTest{actual: newTestState(), model: newReferenceModel()}
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

func (m *modelTest) change(t *rapid.T) {
	count := rapid.IntRange(1, 3).Draw(t, "ops")
	id := rapid.IntRange(0, 200).Draw(t, "id")
	c := newChange(fmt.Sprint(id))
	for range count {
		c.Ops = append(c.Ops, m.drawOp(t))
	}
	m.apply(t, c)
}

// drawOp draws an operation that in most cases expects the current revision.
func (m *modelTest) drawOp(t *rapid.T) *pb.ConfigOp {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	doc := m.drawDocument(t, name)
	key := Key(doc)
	expected := m.model.docs[key].GetRevision()
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		expected = rapid.Uint64Range(0, m.model.revision+1).Draw(t, "expected")
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		return deleteOp(expected, key)
	}
	return putOp(expected, doc)
}

func (m *modelTest) drawDocument(t *rapid.T, name string) *pb.Document {
	if rapid.Bool().Draw(t, "profile") {
		class := rapid.SampledFrom([]string{"online", "batch"}).Draw(t, "class")
		return newProfile(name, class, rapid.IntRange(1, 3).Draw(t, "priority"))
	}
	doc := newService(name, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "online"))
	doc.GetService().BatchProfile = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "batch")
	return doc
}

// resend sends an earlier change again.
func (m *modelTest) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no change was sent")
	}
	m.apply(t, rapid.SampledFrom(m.sent).Draw(t, "change"))
}

func (m *modelTest) apply(t *rapid.T, c *pb.ConfigChange) {
	m.sent = append(m.sent, c)
	outcome, revision := m.model.change(c)
	got := m.actual.change(c)
	if got.GetOutcome() != outcome || got.GetRevision() != revision {
		t.Fatalf("got %s at revision %d, want %s at %d", got.GetOutcome(), got.GetRevision(), outcome, revision)
	}
	if outcome == conflicted && got.GetReason() == "" {
		t.Fatalf("the result of a conflict has no reason")
	}
}

// restore copies the state into a new store, as a snapshot does.
func (m *modelTest) restore(t *rapid.T) {
	store := kv.NewMemoryStore()
	b := store.NewBatch()
	m.actual.store.Scan(nil, nil, func(key, value []byte) bool {
		b.Set(slices.Clone(key), slices.Clone(value))
		return true
	})
	if err := store.Commit(b, true); err != nil {
		t.Fatal(err)
	}
	m.actual.store = store
}

// publish creates an update since a random earlier revision, or a snapshot.
func (m *modelTest) publish(t *rapid.T) {
	from := rapid.Uint64Range(0, m.model.revision).Draw(t, "from")
	update := m.actual.state.UpdateSince(m.actual.store, from)
	if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
		update = &pb.ConfigUpdate{
			Revision:  m.model.revision,
			Snapshot:  true,
			Documents: m.actual.state.Query(m.actual.store, &pb.ConfigQuery{}).GetDocuments(),
		}
	}
	m.published = append(m.published, update)
}

// deliver applies a random published update to a random table, so that updates are
// reordered and repeated.
func (m *modelTest) deliver(t *rapid.T) {
	if len(m.published) == 0 {
		t.Skip("no update was published")
	}
	table := rapid.SampledFrom(m.tables).Draw(t, "table")
	update := rapid.SampledFrom(m.published).Draw(t, "update")
	before := table.Revision()
	outcome := table.Apply(update)
	if table.Revision() < before {
		t.Fatalf("the revision of the table decreased from %d to %d", before, table.Revision())
	}
	if outcome == Applied && table.Revision() != update.GetRevision() {
		t.Fatalf("the table is at revision %[2]d after it applied an update to revision %[1]d", update.GetRevision(), table.Revision())
	}
	if outcome == Gap && update.GetBase() <= before {
		t.Fatalf("gap reported for base %d at revision %d", update.GetBase(), before)
	}
}

func (m *modelTest) check(t *rapid.T) {
	answer := m.actual.state.Query(m.actual.store, &pb.ConfigQuery{})
	if answer.GetRevision() != m.model.revision {
		t.Fatalf("revision %d, want %d", answer.GetRevision(), m.model.revision)
	}
	requireEqualDocuments(t, answer.GetDocuments(), m.model.docs)
	size := uint64(0)
	for _, doc := range answer.GetDocuments() {
		size += encodedSize(doc)
	}
	if counted := totalBytes.Get(m.actual.store); counted != size {
		t.Fatalf("the stored size is %d bytes, the documents have %d", counted, size)
	}
	for _, table := range m.tables {
		requireEqualDocuments(t, documentsInTable(table, m.model.docsAtRevision[table.Revision()]), m.model.docsAtRevision[table.Revision()])
	}
}

// documentsInTable returns the documents of a table. It takes their revisions from
// want, as a table does not keep them.
func documentsInTable(table *Table, want map[string]*pb.Document) []*pb.Document {
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

func requireEqualDocuments(t *rapid.T, got []*pb.Document, want map[string]*pb.Document) {
	if len(got) != len(want) {
		t.Fatalf("%d documents, want %d", len(got), len(want))
	}
	for _, doc := range got {
		if !proto.Equal(doc, want[Key(doc)]) {
			t.Fatalf("%s differs: %v, want %v", Key(doc), doc, want[Key(doc)])
		}
	}
}
