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
	// Gone upstreams have deregistered, or their start time is earlier than that of
	// another upstream at their address.
	Gone
)

func (p Phase) isKnown() bool {
	return p == Ready || p == Draining || p == Gone
}

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
	// DeregisteredUnixMs is set for an upstream that deregistered where it was not
	// known: its starts up to this time are gone.
	DeregisteredUnixMs uint64
	// ReplacedBy is the ID of the upstream with a later start at the address of this
	// one, if this one is gone for that.
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
		u.SoftwareVersion == previous.SoftwareVersion && u.DeregisteredUnixMs == previous.DeregisteredUnixMs
}

// sameStart reports whether two heartbeats can be of one start, which keeps its service and its
// address.
func (u *Upstream) sameStart(other *Upstream) bool {
	return u.StartUnixMs == other.StartUnixMs && u.Service == other.Service && u.Address == other.Address && u.DataCentre == other.DataCentre
}

// includes reports whether the start of an upstream is among those that left with
// this one.
func (u *Upstream) includes(other *Upstream) bool {
	return u.Phase == Gone && (other.StartUnixMs == u.StartUnixMs || other.StartUnixMs <= u.DeregisteredUnixMs)
}

// startedBefore reports whether the start times prove that an upstream started
// before another one.
func (u *Upstream) startedBefore(other *Upstream) bool {
	return u.StartUnixMs > 0 && u.StartUnixMs < other.StartUnixMs
}

// upstreamRetention is the time for which a control replica keeps an upstream after its
// last heartbeat or its deregistration, so that a delayed heartbeat does not add it
// again.
const upstreamRetention = 2 * time.Minute

// followerRetention is the retention of a table that hears only of the changes of others.
// It drops an upstream before they stop to report it as silent, and learns of it again
// when they hear it: see MarkSilent.
const followerRetention = upstreamRetention / 2

// Table merges heartbeats. The zero value is not usable; call NewTable or
// NewFollowerTable.
type Table struct {
	upstreams map[string]*Upstream
	// retention is the time after which upstreams expire.
	retention time.Duration
	// claimDelay is the time for which a present upstream that was heard is not replaced by what
	// claims to be another start of it, or another upstream at its address. It is shorter than
	// the time after which an address is used again, and longer than the interval of heartbeats.
	// A table that does not get each heartbeat has none.
	claimDelay time.Duration
	// atAddress holds the present upstreams of each address by their ID.
	atAddress map[string]map[string]*Upstream
	// changes is the number of changes and renewals so far, lastChange the number of
	// the latest change.
	changes    uint64
	lastChange uint64
}

// claimDelayIntervals is the claim delay in half intervals of heartbeats.
const claimDelayIntervals = 3

// NewTable returns the empty table of a control replica, which gets each heartbeat of upstreams
// that send them at an interval.
func NewTable(heartbeatInterval time.Duration) *Table {
	t := newTable(upstreamRetention)
	t.claimDelay = ClaimDelay(heartbeatInterval)
	return t
}

// ClaimDelay returns the time for which the table of a control replica does not replace an upstream
// that was heard.
func ClaimDelay(heartbeatInterval time.Duration) time.Duration {
	return claimDelayIntervals * heartbeatInterval / 2
}

// NewFollowerTable returns an empty table for a daemon that hears of the changes of
// other tables only.
func NewFollowerTable() *Table {
	return newTable(followerRetention)
}

func newTable(retention time.Duration) *Table {
	return &Table{
		upstreams: make(map[string]*Upstream),
		atAddress: make(map[string]map[string]*Upstream),
		retention: retention,
	}
}

// Apply merges a heartbeat and reports whether it was newer than the stored one.
func (t *Table) Apply(heartbeat Upstream) bool {
	held, known := t.upstreams[heartbeat.ID]
	if !heartbeat.Phase.isKnown() || known && !t.supersedes(&heartbeat, held) || t.Contests(heartbeat) {
		return false
	}
	stored := heartbeat
	if known && stored.Phase == Gone && stored.Address == "" {
		// It deregistered where only its ID was known.
		stored = *held
		stored.Phase, stored.DeregisteredUnixMs, stored.LastHeartbeat = Gone, heartbeat.DeregisteredUnixMs, heartbeat.LastHeartbeat
	}
	t.endEarlierStarts(&stored)
	t.store(&stored)
	if known && stored.renews(held) {
		stored.Silent = held.Silent
		stored.change = held.change
		t.changes++
		stored.renewal = t.changes
		return true
	}
	stored.Silent = known && held.Silent
	t.recordChange(&stored)
	return true
}

// Restore merges a record that was saved before a start. It is no claim: the upstream had its
// address when it was saved.
func (t *Table) Restore(saved Upstream) bool {
	delay := t.claimDelay
	t.claimDelay = 0
	defer func() { t.claimDelay = delay }()
	return t.Apply(saved)
}

// Contests reports whether a heartbeat claims the ID or the address of a present upstream that was
// heard within the claim delay before. Another writer may have sent it; a new start repeats it
// when the upstream is not heard any more.
func (t *Table) Contests(heartbeat Upstream) bool {
	if t.claimDelay == 0 || !heartbeat.Phase.isPresent() {
		return false
	}
	if held, known := t.upstreams[heartbeat.ID]; known && !held.sameStart(&heartbeat) && t.isHeld(held, &heartbeat) {
		return true
	}
	for id, other := range t.atAddress[heartbeat.Address] {
		if id != heartbeat.ID && t.isHeld(other, &heartbeat) {
			return true
		}
	}
	return false
}

// isHeld reports whether an upstream was heard so shortly before a heartbeat that this must not
// replace it.
func (t *Table) isHeld(u, heartbeat *Upstream) bool {
	return u.Phase.isPresent() && heartbeat.LastHeartbeat.Sub(u.LastHeartbeat) < t.claimDelay
}

// ApplyCurrent merges the heartbeats of an update, except those that Current leaves out.
func (t *Table) ApplyCurrent(heartbeats []Upstream) {
	for _, heartbeat := range t.Current(heartbeats) {
		t.Apply(heartbeat)
	}
}

// Current returns the heartbeats of an update without those of upstreams that are not known and
// would expire at once.
func (t *Table) Current(heartbeats []Upstream) []Upstream {
	latest := t.latestHeartbeat()
	for _, heartbeat := range heartbeats {
		if heartbeat.LastHeartbeat.After(latest) {
			latest = heartbeat.LastHeartbeat
		}
	}
	var current []Upstream
	for _, heartbeat := range heartbeats {
		if _, known := t.upstreams[heartbeat.ID]; known || latest.Sub(heartbeat.LastHeartbeat) < t.retention {
			current = append(current, heartbeat)
		}
	}
	return current
}

func (t *Table) latestHeartbeat() time.Time {
	var latest time.Time
	for _, u := range t.upstreams {
		if u.LastHeartbeat.After(latest) {
			latest = u.LastHeartbeat
		}
	}
	return latest
}

// endEarlierStarts marks a present upstream and the others at its address as Gone where
// the start times prove it.
func (t *Table) endEarlierStarts(u *Upstream) {
	if !u.Phase.isPresent() {
		return
	}
	for _, other := range t.atAddress[u.Address] {
		switch {
		case other.ID == u.ID:
		case u.startedBefore(other):
			u.Phase, u.ReplacedBy = Gone, other.ID
			return
		case other.startedBefore(u):
			other.Phase, other.ReplacedBy = Gone, u.ID
			t.leaveAddress(other)
			t.recordChange(other)
		}
	}
}

// store replaces the record of an upstream.
func (t *Table) store(u *Upstream) {
	if held, known := t.upstreams[u.ID]; known {
		t.leaveAddress(held)
	}
	t.upstreams[u.ID] = u
	if !u.Phase.isPresent() {
		return
	}
	if t.atAddress[u.Address] == nil {
		t.atAddress[u.Address] = make(map[string]*Upstream)
	}
	t.atAddress[u.Address][u.ID] = u
}

func (t *Table) leaveAddress(u *Upstream) {
	delete(t.atAddress[u.Address], u.ID)
	if len(t.atAddress[u.Address]) == 0 {
		delete(t.atAddress, u.Address)
	}
}

// supersedes reports whether a heartbeat is newer than the stored one.
func (t *Table) supersedes(heartbeat, held *Upstream) bool {
	switch {
	case held.includes(heartbeat):
		return heartbeat.Phase == Gone && heartbeat.DeregisteredUnixMs > held.DeregisteredUnixMs || t.disproves(heartbeat, held)
	case heartbeat.includes(held):
		return !t.disproves(held, heartbeat)
	case heartbeat.StartUnixMs != held.StartUnixMs:
		return heartbeat.StartUnixMs > held.StartUnixMs
	}
	return heartbeat.Sequence > held.Sequence
}

// disproves reports whether an upstream was heard so long after a deregistration that
// this cannot have been its own.
func (t *Table) disproves(heard, deregistered *Upstream) bool {
	return heard.Phase.isPresent() && heard.LastHeartbeat.Sub(deregistered.LastHeartbeat) >= t.retention
}

// Deregister marks the latest known start of an upstream as Gone. For an unknown
// upstream it marks every start before now.
func (t *Table) Deregister(id string, now time.Time) {
	held, known := t.upstreams[id]
	if !known {
		held = &Upstream{ID: id}
		t.upstreams[id] = held
	}
	if !known || held.DeregisteredUnixMs > 0 {
		held.DeregisteredUnixMs = uint64(now.UnixMilli())
	}
	held.Phase = Gone
	t.leaveAddress(held)
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
// older than a time, and of those that do not have their address: see Holder.
func (t *Table) SilentSince(since time.Time) []string {
	var silent []string
	for _, upstreams := range t.atAddress {
		holder := latestHeard(upstreams)
		for id, u := range upstreams {
			if u != holder || u.LastHeartbeat.Before(since) {
				silent = append(silent, id)
			}
		}
	}
	slices.Sort(silent)
	return silent
}

// MarkSilent sets Silent of each upstream as SilentSince lists it, and returns that list.
// An upstream that is heard again after a silence has changed: a table that follows this
// one may have dropped it.
func (t *Table) MarkSilent(since time.Time) []string {
	silent := t.SilentSince(since)
	for id, u := range t.upstreams {
		if _, listed := slices.BinarySearch(silent, id); listed != u.Silent {
			t.SetSilent(id, listed)
		}
	}
	return silent
}

// Holder returns the upstream that has an address: of the present ones there, the one
// that was heard last.
func (t *Table) Holder(address string) (Upstream, bool) {
	holder := latestHeard(t.atAddress[address])
	if holder == nil {
		return Upstream{}, false
	}
	return *holder, true
}

func latestHeard(upstreams map[string]*Upstream) *Upstream {
	var latest *Upstream
	for id, u := range upstreams {
		if latest == nil || u.LastHeartbeat.After(latest.LastHeartbeat) ||
			u.LastHeartbeat.Equal(latest.LastHeartbeat) && id < latest.ID {
			latest = u
		}
	}
	return latest
}

// Len returns the number of upstreams.
func (t *Table) Len() int { return len(t.upstreams) }

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

// Any reports whether a condition holds for one of the upstreams. It must not change them.
func (t *Table) Any(condition func(*Upstream) bool) bool {
	for _, u := range t.upstreams {
		if condition(u) {
			return true
		}
	}
	return false
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

// Expire removes upstreams that are not present and have not been heard for the
// table's retention, and those whose last heartbeat is that much older than the latest
// heartbeat of any upstream, and returns their IDs. A present upstream is not compared
// with now: if no heartbeat arrives from any upstream, control is unavailable and
// the upstreams still run.
func (t *Table) Expire(now time.Time) []string {
	latest := t.latestHeartbeat()
	var expired []string
	for id, u := range t.upstreams {
		until := latest
		if !u.Phase.isPresent() {
			until = now
		}
		if until.Sub(u.LastHeartbeat) < t.retention {
			continue
		}
		delete(t.upstreams, id)
		t.leaveAddress(u)
		expired = append(expired, id)
	}
	return expired
}
