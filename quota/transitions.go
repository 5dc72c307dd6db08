package quota

import "time"

// Transition reports that a customer went over its quota at this entry, or is back within
// it.
type Transition struct {
	Customer  string
	PerSecond float64
	Burst     float64
	// Over is set at the first refusal.
	Over bool
	// Refused is the number of refused requests, Duration the time from the first to the
	// last of them. Both are zero if Over is set.
	Refused  uint64
	Duration time.Duration
	// Level is the level of the customer, Share the part of the limit that the entries in
	// touch may use.
	Level float64
	Share float64
	// Settled is false while the entry does not know yet what the others have admitted.
	Settled bool
}

// excess is the time in which a customer is over its quota.
type excess struct {
	since, last time.Time
	refused     uint64
}

// Transitions returns the transitions since the last call.
func (l *Ledger) Transitions() []Transition {
	transitions := l.transitions
	l.transitions = nil
	return transitions
}

func (l *Ledger) noteRefusal(now time.Time, a *account) {
	if a.excess.refused == 0 {
		a.excess.since = now
		l.transitions = append(l.transitions, l.transition(now, a, true))
	}
	a.excess.refused++
	a.excess.last = now
}

// noteQuiet ends the excess of a customer of whom no request was refused for a window.
func (l *Ledger) noteQuiet(now time.Time, a *account) {
	if a.excess.refused == 0 || now.Sub(a.excess.last) < l.options.Window {
		return
	}
	back := l.transition(now, a, false)
	back.Refused, back.Duration = a.excess.refused, a.excess.last.Sub(a.excess.since)
	l.transitions = append(l.transitions, back)
	a.excess = excess{}
}

func (l *Ledger) transition(now time.Time, a *account, over bool) Transition {
	return Transition{
		Customer: a.customer, PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, Over: over,
		Level: a.level, Share: l.share, Settled: l.settled(now),
	}
}
