package quota

import (
	"math"
	"time"
)

const (
	// reportTravel is the time within which a report has arrived, summaryTravel the one
	// for the way over the relays of two data centres.
	reportTravel  = 5 * time.Millisecond
	summaryTravel = 150 * time.Millisecond
	// usageMemory is the time constant with which the use of a quota by each entry is
	// forgotten.
	usageMemory = 6 * time.Second
	// freshFor is the age up to which a confirmation counts as fresh. Until then, one more
	// request may be unconfirmed: those of a customer come at random, and only some
	// entries get more than their part.
	freshFor = 350 * time.Millisecond
	// equalUsage is the share of a bucket that counts as admitted by all entries in equal
	// parts. With less, a few requests change the parts before all entries know of them,
	// so that the parts add up to more than the room.
	equalUsage = 0.5
)

// unconfirmed holds what the others may not know of the requests of a customer that
// were admitted here. When a part of the fleet is cut off, each part goes on as if it were in
// touch until it misses the others. All parts together stay within the bound if each
// entry has no more unconfirmed requests than its part of the room that was left.
type unconfirmed struct {
	// confirmed is the value of account.admitted that all members in touch know.
	confirmed int64
	// sent holds what was reported since then, oldest first.
	sent []sentCount
	// own and all are the requests that this entry and all entries admitted lately, as far
	// as they are confirmed, at a time.
	own, all float64
	at       time.Time
}

// sentCount is a count with the time of its report.
type sentCount struct {
	at       time.Time
	admitted int64
}

// recordSent records that the count of an account is reported.
func (u *unconfirmed) recordSent(now time.Time, admitted int64) {
	if n := len(u.sent); n > 0 && u.sent[n-1].admitted == admitted {
		return
	}
	if admitted != u.confirmed || len(u.sent) > 0 {
		u.sent = append(u.sent, sentCount{now, admitted})
	}
}

// confirm brings up to date what the others know of an account. A member that was heard
// after a report was sent has got it: links that fail do so in both directions.
func (l *Ledger) confirm(a *account) {
	u := &a.unconfirmed
	confirmed := 0
	for confirmed < len(u.sent) && !u.sent[confirmed].at.After(l.confirmedAt) {
		confirmed++
	}
	if confirmed == 0 {
		return
	}
	admitted := u.sent[confirmed-1].admitted
	l.recordUsage(a, admitted-u.confirmed, true)
	u.confirmed = admitted
	u.sent = append(u.sent[:0], u.sent[confirmed:]...)
}

// recordUsage counts requests of this entry or another one for the parts of the room.
func (l *Ledger) recordUsage(a *account, requests int64, own bool) {
	u := &a.unconfirmed
	if elapsed := l.lastCall.Sub(u.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / usageMemory.Seconds())
		u.own, u.all, u.at = u.own*decay, u.all*decay, l.lastCall
	}
	u.all = max(0, u.all+float64(requests))
	if own {
		u.own = max(0, u.own+float64(requests))
	}
}

// mayLeaveUnconfirmed reports whether one more request of a customer may be unconfirmed.
// One always may.
func (l *Ledger) mayLeaveUnconfirmed(a *account) bool {
	unknown := float64(a.admitted - a.unconfirmed.confirmed)
	return unknown+1 <= l.unconfirmedRoom(a, unknown)
}

// unconfirmedRoom returns the number of requests that may be unconfirmed: the part of the
// room that this entry had of late. It decays while the use of the others is not heard, for all
// entries alike.
func (l *Ledger) unconfirmedRoom(a *account, unknown float64) float64 {
	l.recordUsage(a, 0, false)
	u := &a.unconfirmed
	equal := equalUsage * l.capacity(a.limit)
	part := (u.own + equal/float64(max(1, l.listed))) / (max(u.own, u.all) + equal)
	room := max(1, math.Ceil(part*(l.capacity(a.limit)-(a.level-unknown))))
	// Rounded up, the parts of all entries add up to one request for each entry more than
	// the room. Where half of the tolerance has that, but not two, the bound holds without
	// regard to how requests arrive, so no further one is allowed.
	spare := l.tolerance(a.limit)/2 - 1
	entries := float64(l.listed)
	if l.lastCall.Sub(l.confirmedAt) < freshFor && (2*entries <= spare || entries > spare) {
		room++
	}
	return room
}
