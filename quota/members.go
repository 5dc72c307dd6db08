package quota

import (
	"slices"
	"time"
)

const (
	// silentAfter is the time without a report after which a member may admit requests
	// that nobody hears of.
	silentAfter = 600 * time.Millisecond
	// vanishedFor is the time for which a member that vanished from the directory is
	// remembered.
	vanishedFor = 30 * time.Second
	// vanishedAfter is the time without a report after which a member that also vanished
	// from the directory has noticed that it is cut off, if it runs at all: its host
	// notices the loss of control after 800 ms, the ledger after controlTimeout more. It
	// must have vanished for a quarter of that time.
	vanishedAfter = 2 * time.Second
	// controlTimeout is the time after which an entry counts as cut off from control.
	controlTimeout = 500 * time.Millisecond
	// keepGroup is the part of the members that a group without control needs to go on.
	// The parts of as many members are not taken over, though control has lost them.
	keepGroup = 0.75
	// lateToConfirm is the inverse of the share of members that need not have confirmed a
	// count.
	lateToConfirm = 10
	// shareInterval is the time for which a computed share is used. Its cost grows with the
	// number of members.
	shareInterval = 10 * time.Millisecond
	// minShare bounds the time that Retry-After states while no share is known.
	minShare = 0.01
)

// Member is an entry that the directory of the control replicas lists.
type Member struct {
	ID         string
	DataCentre string
}

// member is what a ledger knows of an entry.
type member struct {
	source
	dataCentre string
	// listed is set once the directory has listed the member. Others have no share: they
	// may be no entries.
	listed bool
	// vanishedAt is the time since which the directory does not list the member; zero
	// while it does.
	vanishedAt time.Time
}

// SetMembers replaces the members by those that the directory lists. A directory without
// the entry itself is not current, for instance because the entry has lost touch with
// the control replicas; it is ignored.
func (l *Ledger) SetMembers(now time.Time, members []Member) {
	l.advance(now)
	if !slices.ContainsFunc(members, func(m Member) bool { return m.ID == l.options.Self }) {
		return
	}
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.ID] = true
		known := l.member(now, m.ID)
		known.dataCentre, known.vanishedAt, known.listed = m.DataCentre, time.Time{}, true
	}
	for id, m := range l.members {
		if !listed[id] && m.vanishedAt.IsZero() {
			m.vanishedAt = now
		}
	}
	l.shareAt = time.Time{}
	l.updateShare(now)
}

// member returns a member. One that the directory has not listed yet counts as vanished.
func (l *Ledger) member(now time.Time, id string) *member {
	m, known := l.members[id]
	if !known {
		m = &member{source: *newSource(), vanishedAt: now}
		l.members[id] = m
	}
	return m
}

// Heard records that a report of an entry without counts arrived.
func (l *Ledger) Heard(now time.Time, peer string, incarnation uint64) {
	l.advance(now)
	l.hear(now, peer, incarnation)
}

// hear returns the member that sent a report, or nil for an incarnation that has ended.
func (l *Ledger) hear(now time.Time, peer string, incarnation uint64) *member {
	if peer == l.options.Self {
		return nil
	}
	m := l.member(now, peer)
	if !m.hear(now, incarnation) {
		return nil
	}
	if !m.vanishedAt.IsZero() {
		m.vanishedAt = now
	}
	if l.firstHeard.IsZero() {
		l.firstHeard = now
	}
	return m
}

func newSource() *source { return &source{counted: make(map[uint64]countedReport)} }

// hear records a report of an incarnation, and reports whether it is the latest one. The
// counts of a later incarnation start at 0.
func (s *source) hear(now time.Time, incarnation uint64) bool {
	if incarnation < s.incarnation {
		return false
	}
	if incarnation > s.incarnation {
		s.incarnation = incarnation
		clear(s.counted)
	} else if now.Sub(s.heardAt) >= silentAfter {
		s.rejoinedAt = now
	}
	s.heardAt = now
	return true
}

// updateShare computes the part of each limit that the entries in touch may use, and the
// time up to which they know what this one reported.
//
// One equal part is left free for each member that is silent, since it may serve callers
// without anyone hearing of it. One that control has lost too stops doing so by the rule
// below, so its part is free again after vanishedAfter. Without control, only a group of
// keepGroup of the members goes on, and no group takes over the parts of as many: whatever the
// fleet splits into, the parts in use do not exceed the limit.
func (l *Ledger) updateShare(now time.Time) {
	if !l.shareAt.IsZero() && now.Sub(l.shareAt) < shareInterval {
		return
	}
	l.shareAt = now
	listed, silent, vanished := 0, 0, 0
	l.heardTimes = l.heardTimes[:0]
	for id, m := range l.members {
		if !m.listed {
			continue
		}
		listed++
		switch {
		case id == l.options.Self:
		case !l.inTouch(now, m):
			silent++
			if !m.vanishedAt.IsZero() && now.Sub(m.heardAt) >= vanishedAfter && now.Sub(m.vanishedAt) >= vanishedAfter/4 {
				vanished++
			}
		case l.isLocal(m):
			l.heardTimes = append(l.heardTimes, m.heardAt.Add(-reportTravel))
		}
	}
	silent += l.silentElsewhere(now)
	l.confirmedAt = confirmedTime(now, l.heardTimes)
	l.listed = listed
	if listed == 0 {
		l.share = 0
		return
	}
	inControl := now.Sub(l.controlAt) < controlTimeout
	keep := keepGroup * float64(listed)
	switch {
	case inControl && float64(vanished) < keep:
		silent, listed = silent-vanished, listed-vanished
	case !inControl && float64(listed-silent) < keep:
		silent = listed
	}
	share := max(0, 1-float64(silent)/float64(listed))
	if share < l.share {
		// The members that fell silent were last heard silentAfter ago.
		l.supply -= (l.share - share) * silentAfter.Seconds()
	}
	l.share = share
}

// confirmedTime returns the time at which all sources but the lateToConfirm latest ones were
// heard: one lost datagram must not hold up the confirmation of counts.
func confirmedTime(now time.Time, heard []time.Time) time.Time {
	if len(heard) == 0 {
		return now
	}
	slices.SortFunc(heard, time.Time.Compare)
	return heard[len(heard)/lateToConfirm]
}

// isLocal reports whether a member is heard itself, not in summaries.
func (l *Ledger) isLocal(m *member) bool {
	return m.dataCentre == l.options.DataCentre || l.summaries[m.dataCentre] == nil
}

// inTouch reports whether a member was heard lately, itself or in a summary of its data
// centre.
func (l *Ledger) inTouch(now time.Time, m *member) bool {
	if m.inTouch(now, settleTime) {
		return true
	}
	dc, known := l.summaries[m.dataCentre]
	return known && dc.inTouch(now, summarySettleTime)
}

// inTouch reports whether a source was heard lately, and its counts have arrived since it
// was silent, which takes settle.
func (s *source) inTouch(now time.Time, settle time.Duration) bool {
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) < silentAfter && (s.rejoinedAt.IsZero() || now.Sub(s.rejoinedAt) >= settle)
}

// ConfirmControl records that the entry is in touch with control replicas that are in
// contact with the majority of their group. The host calls it several times in
// controlTimeout while it is.
func (l *Ledger) ConfirmControl(now time.Time) {
	l.advance(now)
	l.controlAt = now
}

// expire forgets members that vanished long ago.
func (l *Ledger) expire(now time.Time) {
	for id, m := range l.members {
		if id != l.options.Self && !m.vanishedAt.IsZero() && now.Sub(m.vanishedAt) >= vanishedFor {
			delete(l.members, id)
			l.shareAt = time.Time{}
		}
	}
}
