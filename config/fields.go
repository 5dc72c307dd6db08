package config

import (
	"time"

	"github.com/briarcross/briarcross/pb"
)

// number describes a numeric field of a profile.
type number struct {
	name string
	// duration marks a field that counts milliseconds.
	duration  bool
	low, high uint64
	// Defaults of schema version 1 for each class. They never change: a
	// later schema version has a table of its own.
	online, batch uint64
	get           func(*pb.Profile) uint64
	set           func(*pb.Profile, uint64)
}

// choose returns the default for a class.
func (n *number) choose(class pb.ServiceClass) uint64 {
	if class == pb.ServiceClass_CLASS_BATCH {
		return n.batch
	}
	return n.online
}

const (
	secondMs = uint64(time.Second / time.Millisecond)
	minuteMs = 60 * secondMs
	hourMs   = 60 * minuteMs
	dayMs    = 24 * hourMs

	maxTargetMs = 10 * minuteMs
	maxDueMs    = 90 * dayMs
	maxKeepMs   = 365 * dayMs
	permille    = 1000
)

// field32 makes the accessors of a 32-bit field.
func field32(n number, at func(*pb.Profile) *uint32) number {
	n.get = func(p *pb.Profile) uint64 { return uint64(*at(p)) }
	n.set = func(p *pb.Profile, value uint64) { *at(p) = uint32(value) }
	return n
}

// field64 makes the accessors of a 64-bit field.
func field64(n number, at func(*pb.Profile) *uint64) number {
	n.get = func(p *pb.Profile) uint64 { return *at(p) }
	n.set = func(p *pb.Profile, value uint64) { *at(p) = value }
	return n
}

// profileNumbers lists the numeric fields in the order of Format.
var profileNumbers = []number{
	field32(number{name: "firstToken", duration: true, high: maxTargetMs, online: secondMs, batch: 0},
		func(p *pb.Profile) *uint32 { return &p.FirstTokenMs }),
	field32(number{name: "betweenTokens", duration: true, high: maxTargetMs, online: 100, batch: 0},
		func(p *pb.Profile) *uint32 { return &p.BetweenTokensMs }),
	field64(number{name: "due", duration: true, low: 1, high: maxDueMs, online: minuteMs, batch: dayMs},
		func(p *pb.Profile) *uint64 { return &p.DueMs }),
	field32(number{name: "queue", duration: true, high: maxTargetMs, online: 2 * secondMs, batch: 0},
		func(p *pb.Profile) *uint32 { return &p.QueueMs }),
	field32(number{name: "maxAttempts", low: 1, high: 100, online: 3, batch: 5},
		func(p *pb.Profile) *uint32 { return &p.MaxAttempts }),
	field32(number{name: "retryBudgetPermille", high: 10 * permille, online: 100, batch: permille},
		func(p *pb.Profile) *uint32 { return &p.RetryBudgetPermille }),
	field32(number{name: "hedgeAfter", duration: true, high: maxTargetMs, online: 0, batch: 0},
		func(p *pb.Profile) *uint32 { return &p.HedgeAfterMs }),
	field32(number{name: "priority", high: 1000, online: 10, batch: 100},
		func(p *pb.Profile) *uint32 { return &p.Priority }),
	field32(number{name: "harmPermille", high: permille, online: 50, batch: 50},
		func(p *pb.Profile) *uint32 { return &p.HarmPermille }),
	field32(number{name: "callerInFlight", high: 1_000_000, online: 256, batch: 0},
		func(p *pb.Profile) *uint32 { return &p.CallerInFlight }),
	field32(number{name: "callerPerSecond", high: 1_000_000, online: 0, batch: 0},
		func(p *pb.Profile) *uint32 { return &p.CallerPerSecond }),
	field64(number{name: "retention", duration: true, low: 1, high: maxKeepMs, online: dayMs, batch: 7 * dayMs},
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

var classes = map[string]pb.ServiceClass{
	classOnline: pb.ServiceClass_CLASS_ONLINE,
	classBatch:  pb.ServiceClass_CLASS_BATCH,
}

var kinds = map[string]pb.ServiceKind{
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
