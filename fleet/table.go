package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Phase is the state that an upstream reports of itself.
type Phase int

// The phases of an upstream.
const (
	Ready Phase = iota + 1
	// Draining upstreams finish their running requests and accept no new ones.
	Draining
	// Gone upstreams have deregistered or were replaced at their address.
	Gone
)

// Upstream is the latest heartbeat of one upstream.
type Upstream struct {
	ID string
	// StartUnixMs is the start time of the process, which distinguishes the
	// starts of one ID; zero if unknown.
	StartUnixMs uint64
	// Sequence increases with each heartbeat of one start.
	Sequence   uint64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Phase      Phase
	// ColdUntil is the end of the period after a start in which the upstream is
	// slow.
	ColdUntil time.Time
	// LastHeartbeat is the time of the latest heartbeat.
	LastHeartbeat time.Time

	// change is the table's change number at the latest change of the record.
	change uint64
}

// upstreamRetention is the time for which an upstream is kept after its last
// heartbeat or its deregistration, so that a delayed heartbeat does not add it
// again.
const upstreamRetention = 2 * time.Minute

// Table merges heartbeats. The zero value is not usable; call NewTable.
type Table struct {
	upstreams map[string]*Upstream
	// atAddress maps an address to the ID of the upstream that started there
	// last.
	atAddress map[string]string
	// changes is the number of changes of the table so far.
	changes uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{upstreams: make(map[string]*Upstream), atAddress: make(map[string]string)}
}

// Apply merges a heartbeat and reports whether it was newer than the stored one.
func (t *Table) Apply(heartbeat Upstream) bool {
	held, known := t.upstreams[heartbeat.ID]
	if known && !supersedes(&heartbeat, held) {
		return false
	}
	if other := t.otherAtAddress(&heartbeat); other != nil {
		if other.StartUnixMs > heartbeat.StartUnixMs {
			heartbeat.Phase = Gone
		} else if other.Phase != Gone {
			other.Phase = Gone
			t.recordChange(other)
		}
	}
	stored := heartbeat
	t.upstreams[heartbeat.ID] = &stored
	if stored.Phase != Gone {
		t.atAddress[stored.Address] = stored.ID
	}
	t.recordChange(&stored)
	return true
}

// supersedes reports whether a heartbeat is newer than the stored one.
func supersedes(heartbeat, held *Upstream) bool {
	if heartbeat.StartUnixMs != held.StartUnixMs {
		return heartbeat.StartUnixMs > held.StartUnixMs
	}
	if held.Phase == Gone {
		return false
	}
	return heartbeat.Phase == Gone || heartbeat.Sequence > held.Sequence
}

// otherAtAddress returns the other upstream that is known at the address of a
// heartbeat, or nil.
func (t *Table) otherAtAddress(heartbeat *Upstream) *Upstream {
	id, ok := t.atAddress[heartbeat.Address]
	if !ok || id == heartbeat.ID {
		return nil
	}
	return t.upstreams[id]
}

// Deregister marks the latest known start of an upstream as Gone. For an unknown
// upstream it marks every start before now.
func (t *Table) Deregister(id string, now time.Time) {
	held, known := t.upstreams[id]
	if !known {
		held = &Upstream{ID: id, StartUnixMs: uint64(now.UnixMilli())}
		t.upstreams[id] = held
	}
	held.Phase = Gone
	held.LastHeartbeat = now
	t.recordChange(held)
}

func (t *Table) recordChange(u *Upstream) {
	t.changes++
	u.change = t.changes
}

// Get returns an upstream by its ID.
func (t *Table) Get(id string) (Upstream, bool) {
	u, ok := t.upstreams[id]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// LastChange returns the number of the latest change of the table.
func (t *Table) LastChange() uint64 {
	return t.changes
}

// ChangedSince returns the upstreams that changed after a change number, ordered
// by their latest change.
func (t *Table) ChangedSince(change uint64) []Upstream {
	if change >= t.changes {
		return nil
	}
	var changed []Upstream
	for _, u := range t.upstreams {
		if u.change > change {
			changed = append(changed, *u)
		}
	}
	slices.SortFunc(changed, func(a, b Upstream) int { return cmp.Compare(a.change, b.change) })
	return changed
}

// All returns all upstreams, sorted by ID.
func (t *Table) All() []Upstream {
	all := make([]Upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		all = append(all, *u)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Expire removes upstreams that have been Gone for upstreamRetention, and those
// whose last heartbeat is that much older than the latest heartbeat of any
// upstream, and returns their IDs. An upstream that is not Gone is not compared
// with now: if no heartbeat arrives from any upstream, control is unavailable and
// the upstreams still run.
func (t *Table) Expire(now time.Time) []string {
	var latest time.Time
	for _, u := range t.upstreams {
		if u.LastHeartbeat.After(latest) {
			latest = u.LastHeartbeat
		}
	}
	var expired []string
	for id, u := range t.upstreams {
		until := latest
		if u.Phase == Gone {
			until = now
		}
		if until.Sub(u.LastHeartbeat) < upstreamRetention {
			continue
		}
		delete(t.upstreams, id)
		if t.atAddress[u.Address] == id {
			delete(t.atAddress, u.Address)
		}
		expired = append(expired, id)
	}
	return expired
}
