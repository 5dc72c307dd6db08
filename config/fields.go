package config

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// numericField describes a numeric field of a profile.
type numericField struct {
	name string
	// duration marks a field in milliseconds, which YAML holds as a duration.
	duration bool
	min, max uint64
	// The defaults of schema version 1 for the two classes. They must not
	// change; a later schema version needs its own table.
	onlineDefault, batchDefault uint64
	get                         func(*pb.Profile) uint64
	set                         func(*pb.Profile, uint64)
}

// defaultFor returns the default of the field for a class.
func (n *numericField) defaultFor(class pb.ServiceClass) uint64 {
	if class == pb.ServiceClass_CLASS_BATCH {
		return n.batchDefault
	}
	return n.onlineDefault
}

const (
	secondMs = uint64(time.Second / time.Millisecond)
	minuteMs = 60 * secondMs
	hourMs   = 60 * minuteMs
	dayMs    = 24 * hourMs

	maxTargetMs    = 10 * minuteMs
	maxDueMs       = 90 * dayMs
	maxRetentionMs = 365 * dayMs
	permille       = 1000
)

// uint32Field returns n with the accessors of a 32-bit field.
func uint32Field(n numericField, pointer func(*pb.Profile) *uint32) numericField {
	n.get = func(p *pb.Profile) uint64 { return uint64(*pointer(p)) }
	n.set = func(p *pb.Profile, value uint64) { *pointer(p) = uint32(value) }
	return n
}

// uint64Field returns n with the accessors of a 64-bit field.
func uint64Field(n numericField, pointer func(*pb.Profile) *uint64) numericField {
	n.get = func(p *pb.Profile) uint64 { return *pointer(p) }
	n.set = func(p *pb.Profile, value uint64) { *pointer(p) = value }
	return n
}

// numericProfileFields lists the numeric fields in the order in which Format
// writes them.
var numericProfileFields = []numericField{
	uint32Field(numericField{name: "firstToken", duration: true, max: maxTargetMs, onlineDefault: secondMs, batchDefault: 0},
		func(p *pb.Profile) *uint32 { return &p.FirstTokenMs }),
	uint32Field(numericField{name: "betweenTokens", duration: true, max: maxTargetMs, onlineDefault: 100, batchDefault: 0},
		func(p *pb.Profile) *uint32 { return &p.BetweenTokensMs }),
	uint64Field(numericField{name: "due", duration: true, min: 1, max: maxDueMs, onlineDefault: minuteMs, batchDefault: dayMs},
		func(p *pb.Profile) *uint64 { return &p.DueMs }),
	uint32Field(numericField{name: "queue", duration: true, max: maxTargetMs, onlineDefault: 2 * secondMs, batchDefault: 0},
		func(p *pb.Profile) *uint32 { return &p.QueueMs }),
	uint32Field(numericField{name: "maxAttempts", min: 1, max: 100, onlineDefault: 3, batchDefault: 5},
		func(p *pb.Profile) *uint32 { return &p.MaxAttempts }),
	uint32Field(numericField{name: "retryBudgetPermille", max: 10 * permille, onlineDefault: 100, batchDefault: permille},
		func(p *pb.Profile) *uint32 { return &p.RetryBudgetPermille }),
	uint32Field(numericField{name: "hedgeAfter", duration: true, max: maxTargetMs, onlineDefault: 0, batchDefault: 0},
		func(p *pb.Profile) *uint32 { return &p.HedgeAfterMs }),
	uint32Field(numericField{name: "priority", max: 1000, onlineDefault: 10, batchDefault: 100},
		func(p *pb.Profile) *uint32 { return &p.Priority }),
	uint32Field(numericField{name: "harmPermille", max: permille, onlineDefault: 50, batchDefault: 50},
		func(p *pb.Profile) *uint32 { return &p.HarmPermille }),
	uint32Field(numericField{name: "callerInFlight", max: 1_000_000, onlineDefault: 256, batchDefault: 0},
		func(p *pb.Profile) *uint32 { return &p.CallerInFlight }),
	uint32Field(numericField{name: "callerPerSecond", max: 1_000_000, onlineDefault: 0, batchDefault: 0},
		func(p *pb.Profile) *uint32 { return &p.CallerPerSecond }),
	uint64Field(numericField{name: "retention", duration: true, min: 1, max: maxRetentionMs, onlineDefault: dayMs, batchDefault: 7 * dayMs},
		func(p *pb.Profile) *uint64 { return &p.RetentionMs }),
}

const (
	classOnline = "online"
	classBatch  = "batch"
	kindModel   = "model"
	kindPlain   = "plain"

	documentProfile = "Profile"
	documentService = "Service"
)

var classByName = map[string]pb.ServiceClass{
	classOnline: pb.ServiceClass_CLASS_ONLINE,
	classBatch:  pb.ServiceClass_CLASS_BATCH,
}

var kindByName = map[string]pb.ServiceKind{
	kindModel: pb.ServiceKind_SERVICE_MODEL,
	kindPlain: pb.ServiceKind_SERVICE_PLAIN,
}

// className returns the YAML name of a class.
func className(class pb.ServiceClass) string {
	if class == pb.ServiceClass_CLASS_BATCH {
		return classBatch
	}
	return classOnline
}

// kindName returns the YAML name of a service kind.
func kindName(kind pb.ServiceKind) string {
	if kind == pb.ServiceKind_SERVICE_PLAIN {
		return kindPlain
	}
	return kindModel
}
