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
	// Gone upstreams have deregistered, or a later start took their address.
	Gone
	// Replaced upstreams have lost their address to another upstream that was heard
	// later. Start times do not tell which of the two started later, so an upstream
	// that is heard again takes its address back.
	Replaced
)

// isPresent reports whether an upstream in this phase still has its address.
func (p Phase) isPresent() bool {
	return p == Ready || p == Draining
}

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
	// SoftwareVersion is the version of the engine's software; empty if unknown.
	SoftwareVersion string
	// ColdUntil is the end of the period after a start in which the upstream is
	// slow.
	ColdUntil time.Time
	// LastHeartbeat is the time of the latest heartbeat.
	LastHeartbeat time.Time
	// Silent is set while heartbeats are missing. The upstream is then used only if
	// no other is free.
	Silent bool
	// ReplacedBy is the ID of the upstream that took the address of this one, if the
	// table inferred from that that it is gone.
	ReplacedBy string

	// change is the table's change number at the latest change of the record, and
	// renewal at the latest heartbeat or change.
	change  uint64
	renewal uint64
}

// renews reports whether a heartbeat only shows that the upstream of the previous
// one is still there. The remaining cold time follows from the first heartbeat.
func (u *Upstream) renews(previous *Upstream) bool {
	return u.StartUnixMs == previous.StartUnixMs && u.Service == previous.Service && u.Address == previous.Address &&
		u.DataCentre == previous.DataCentre && u.Slots == previous.Slots && u.Phase == previous.Phase &&
		u.SoftwareVersion == previous.SoftwareVersion
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
	// changes is the number of changes and renewals so far, lastChange the number of
	// the latest change.
	changes    uint64
	lastChange uint64
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
	if other := t.otherAtAddress(&heartbeat); other != nil && heartbeat.Phase.isPresent() {
		switch {
		case other.StartUnixMs > heartbeat.StartUnixMs:
			heartbeat.Phase, heartbeat.ReplacedBy = Gone, other.ID
		case other.Phase.isPresent():
			t.replace(other, &heartbeat)
		}
	}
	stored := heartbeat
	t.upstreams[heartbeat.ID] = &stored
	if stored.Phase.isPresent() {
		t.atAddress[stored.Address] = stored.ID
	}
	if known && stored.renews(held) {
		stored.Silent = held.Silent
		stored.change = held.change
		t.changes++
		stored.renewal = t.changes
		return true
	}
	t.recordChange(&stored)
	return true
}

// replace ends an upstream whose address another one has taken.
func (t *Table) replace(former, successor *Upstream) {
	former.Phase, former.ReplacedBy = Replaced, successor.ID
	if successor.StartUnixMs > former.StartUnixMs {
		former.Phase = Gone
	}
	t.recordChange(former)
}

// supersedes reports whether a heartbeat is newer than the stored one.
func supersedes(heartbeat, held *Upstream) bool {
	if heartbeat.StartUnixMs != held.StartUnixMs {
		return heartbeat.StartUnixMs > held.StartUnixMs
	}
	switch {
	case held.Phase == Gone:
		return false
	case heartbeat.Phase == Gone:
		return true
	case heartbeat.Phase == Replaced && held.Phase != Replaced:
		return heartbeat.Sequence >= held.Sequence
	}
	return heartbeat.Sequence > held.Sequence
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
	t.lastChange = t.changes
	u.change, u.renewal = t.changes, t.changes
}

// SetSilent records whether heartbeats of an upstream are missing.
func (t *Table) SetSilent(id string, silent bool) {
	if u, known := t.upstreams[id]; known && u.Silent != silent {
		u.Silent = silent
		t.recordChange(u)
	}
}

// ConfirmHeard records at now a heartbeat of each present upstream that is not
// silent, for a table that is told of missing heartbeats only.
func (t *Table) ConfirmHeard(now time.Time) {
	for _, u := range t.upstreams {
		if u.Phase.isPresent() && !u.Silent {
			u.LastHeartbeat = now
		}
	}
}

// SilentSince returns the sorted IDs of the present upstreams whose last heartbeat is
// older than a time.
func (t *Table) SilentSince(since time.Time) []string {
	var silent []string
	for id, u := range t.upstreams {
		if u.Phase.isPresent() && u.LastHeartbeat.Before(since) {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// Get returns an upstream by its ID.
func (t *Table) Get(id string) (Upstream, bool) {
	u, ok := t.upstreams[id]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// LastChange returns the number of the latest change or renewal.
func (t *Table) LastChange() uint64 {
	return t.changes
}

// LastSignificantChange returns the number of the latest change that is no renewal.
func (t *Table) LastSignificantChange() uint64 {
	return t.lastChange
}

// ChangedSince returns the upstreams that changed after a change number, ordered
// by their latest change. A heartbeat that only renews the previous one is no
// change.
func (t *Table) ChangedSince(number uint64) []Upstream {
	return t.since(number, func(u *Upstream) uint64 { return u.change })
}

// RenewedSince returns the upstreams that changed or whose heartbeat was renewed
// after a change number, ordered by their latest heartbeat or change.
func (t *Table) RenewedSince(number uint64) []Upstream {
	return t.since(number, func(u *Upstream) uint64 { return u.renewal })
}

func (t *Table) since(number uint64, numberOf func(*Upstream) uint64) []Upstream {
	if number >= t.changes {
		return nil
	}
	var found []Upstream
	for _, u := range t.upstreams {
		if numberOf(u) > number {
			found = append(found, *u)
		}
	}
	slices.SortFunc(found, func(a, b Upstream) int { return cmp.Compare(numberOf(&a), numberOf(&b)) })
	return found
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

// Expire removes upstreams that are not present and have not been heard for
// upstreamRetention, and those whose last heartbeat is that much older than the latest
// heartbeat of any upstream, and returns their IDs. A present upstream is not compared
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
		if !u.Phase.isPresent() {
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
