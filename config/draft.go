package config

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// draft is a configuration change that is being validated.
type draft struct {
	reader kv.Reader
	edits  []*documentEdit
	byKey  map[string]*documentEdit
}

// documentEdit is one operation of a change with the document before and after
// it; nil means that the document does not exist.
type documentEdit struct {
	key              string
	expectedRevision uint64
	before           *pb.Document
	after            *pb.Document
}

func newDraft(r kv.Reader) *draft {
	return &draft{reader: r, byKey: make(map[string]*documentEdit)}
}

// loadOps reads the operations of a change. It returns the reason why one of them
// is malformed, or "".
func (d *draft) loadOps(c *pb.ConfigChange) string {
	for _, op := range c.GetOps() {
		e, reason := d.newEdit(op)
		if reason != "" {
			return reason
		}
		if d.byKey[e.key] != nil {
			return e.key + " stands twice in the change"
		}
		d.byKey[e.key] = e
		d.edits = append(d.edits, e)
	}
	return ""
}

func (d *draft) newEdit(op *pb.ConfigOp) (*documentEdit, string) {
	e := &documentEdit{expectedRevision: op.GetExpectedRevision()}
	switch body := op.GetOp().(type) {
	case *pb.ConfigOp_Put:
		e.key = Key(body.Put)
		e.after = proto.CloneOf(body.Put)
	case *pb.ConfigOp_Delete:
		e.key = body.Delete
	}
	if kind, name := splitKey(e.key); kind == "" || checkName(name) != "" {
		return nil, "an operation needs the key or the body of a profile or service with a valid name"
	}
	if e.after != nil {
		e.after.Revision = 0
	}
	e.before = readDocument(d.reader, e.key)
	return e, ""
}

// conflicts returns the edits whose expected revision is not the current one.
func (d *draft) conflicts() []*documentEdit {
	var conflicts []*documentEdit
	for _, e := range d.edits {
		if e.before.GetRevision() != e.expectedRevision {
			conflicts = append(conflicts, e)
		}
	}
	return conflicts
}

// validate returns the reason why the change would make the configuration invalid,
// or "".
func (d *draft) validate() string {
	for _, e := range d.edits {
		if reason := d.validateEdit(e); reason != "" {
			return reason
		}
	}
	return d.validateSize()
}

func (d *draft) validateSize() string {
	size := totalBytes.Get(d.reader)
	for _, e := range d.edits {
		size = size - encodedSize(e.before) + encodedSize(e.after)
	}
	if size > MaxBytes {
		return fmt.Sprintf("the configuration would take %d bytes, at most %d are allowed", size, MaxBytes)
	}
	return ""
}

func (d *draft) validateEdit(e *documentEdit) string {
	if e.after == nil && e.before == nil {
		return e.key + " does not exist"
	}
	if e.after != nil {
		if fieldErr := validate(e.after); fieldErr != nil {
			return fieldErr.Error()
		}
	}
	if kind, name := splitKey(e.key); kind == profilePrefix {
		return d.validateServicesUsing(name)
	}
	if e.after == nil {
		return ""
	}
	return d.validateReferences(e.after.GetService())
}

// validateReferences checks that the profiles of a service exist and have the
// right class.
func (d *draft) validateReferences(s *pb.Service) string {
	if reason := d.validateReference(s, s.GetProfile(), pb.ServiceClass_CLASS_ONLINE); reason != "" {
		return reason
	}
	if s.GetBatchProfile() == "" {
		return ""
	}
	return d.validateReference(s, s.GetBatchProfile(), pb.ServiceClass_CLASS_BATCH)
}

func (d *draft) validateReference(s *pb.Service, name string, class pb.ServiceClass) string {
	profile := d.documentAfter(ProfileKey(name)).GetProfile()
	if profile == nil {
		return fmt.Sprintf("%s uses profile %s, which does not exist", ServiceKey(s.GetName()), name)
	}
	if profile.GetServiceClass() != class {
		return fmt.Sprintf("%s uses profile %s as %s, which is of class %s",
			ServiceKey(s.GetName()), name, className(class), className(profile.GetServiceClass()))
	}
	return ""
}

// validateServicesUsing checks the services that used a profile before the change
// and still do. Services that the change writes are also validated by their own
// edits.
func (d *draft) validateServicesUsing(profile string) string {
	for _, key := range d.servicesUsing(profile) {
		service := d.documentAfter(key).GetService()
		if service == nil || !slices.Contains(profilesOf(d.documentAfter(key)), profile) {
			continue
		}
		if reason := d.validateReferences(service); reason != "" {
			return reason
		}
	}
	return ""
}

// servicesUsing returns the keys of the services that used a profile before the
// change.
func (d *draft) servicesUsing(profile string) []string {
	prefix := []byte(usePrefix + profile + "/")
	var keys []string
	d.reader.Scan(prefix, kv.PrefixEnd(prefix), func(key, _ []byte) bool {
		keys = append(keys, string(key[len(prefix):]))
		return true
	})
	return keys
}

// documentAfter returns the document under a key after the change, or nil.
func (d *draft) documentAfter(key string) *pb.Document {
	if e, ok := d.byKey[key]; ok {
		return e.after
	}
	return readDocument(d.reader, key)
}
