package config

import (
	"github.com/tidwall/btree"

	"github.com/briarcross/briarcross/pb"
)

// ApplyOutcome says whether an update was applied to a table.
type ApplyOutcome int

// Outcomes of an update of a table.
const (
	// Applied means that the table now holds the revision of the update.
	Applied ApplyOutcome = iota + 1
	// Stale means that the table already holds the revision or a later one.
	Stale
	// Gap means that changes before the update are missing. The daemon must
	// subscribe again from the revision of its table.
	Gap
)

// CheckUpdate returns the outcome of applying an update to a table at a revision.
func CheckUpdate(revision uint64, u *pb.ConfigUpdate) ApplyOutcome {
	if u.GetRevision() <= revision {
		return Stale
	}
	if !u.GetSnapshot() && u.GetBase() > revision {
		return Gap
	}
	return Applied
}

// Table holds the documents in force at a daemon. It is not safe for
// concurrent use. The documents it returns are shared and must not be
// modified.
type Table struct {
	revision uint64
	profiles btree.Map[string, *pb.Profile]
	services btree.Map[string, *pb.Service]
}

// NewTable returns an empty table at revision zero.
func NewTable() *Table {
	return &Table{}
}

// Apply applies an update unless it is stale or leaves a gap. The cost depends on
// the size of the update, not on that of the table.
func (t *Table) Apply(u *pb.ConfigUpdate) ApplyOutcome {
	outcome := CheckUpdate(t.revision, u)
	if outcome != Applied {
		return outcome
	}
	if u.GetSnapshot() {
		t.profiles.Clear()
		t.services.Clear()
	}
	for _, key := range u.GetDeleted() {
		t.remove(key)
	}
	for _, doc := range u.GetDocuments() {
		t.put(doc)
	}
	t.revision = u.GetRevision()
	return Applied
}

func (t *Table) put(doc *pb.Document) {
	switch body := doc.GetBody().(type) {
	case *pb.Document_Profile:
		t.profiles.Set(body.Profile.GetName(), body.Profile)
	case *pb.Document_Service:
		t.services.Set(body.Service.GetName(), body.Service)
	}
}

func (t *Table) remove(key string) {
	kind, name := splitKey(key)
	switch kind {
	case profilePrefix:
		t.profiles.Delete(name)
	case servicePrefix:
		t.services.Delete(name)
	}
}

// Revision returns the revision of the table.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Service returns a service by name.
func (t *Table) Service(name string) (*pb.Service, bool) {
	return t.services.Get(name)
}

// Profile returns a profile by name.
func (t *Table) Profile(name string) (*pb.Profile, bool) {
	return t.profiles.Get(name)
}

// ServiceWithProfiles returns a service and its profiles. batch is nil if the
// service has no batch profile and accepts no jobs. ok is false if the service or
// one of its profiles is missing.
func (t *Table) ServiceWithProfiles(service string) (svc *pb.Service, online, batch *pb.Profile, ok bool) {
	svc, ok = t.services.Get(service)
	if !ok {
		return nil, nil, nil, false
	}
	online, ok = t.profiles.Get(svc.GetProfile())
	if !ok {
		return nil, nil, nil, false
	}
	if svc.GetBatchProfile() == "" {
		return svc, online, nil, true
	}
	batch, ok = t.profiles.Get(svc.GetBatchProfile())
	return svc, online, batch, ok
}

// Services returns all services, sorted by name.
func (t *Table) Services() []*pb.Service {
	return t.services.Values()
}
