package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lazyInterval is the time for which a small change of a customer far below its limit
	// waits to be reported. Counts are also repeated at this interval.
	lazyInterval = 500 * time.Millisecond
	// repeatFor is the time for which the count of a customer is repeated, because
	// datagrams get lost and entries start. What is older matters in no window of 5 s.
	repeatFor = 5 * time.Second
	// urgentLevel is the part of a bucket from which on changes are reported at once.
	urgentLevel = 0.5
	// assumedUnreported is the number of entries that are assumed to have as many requests
	// to report as this one.
	assumedUnreported = 4
	// maxCounts limits the counts in one report to about 5 KB. The others go with the next.
	maxCounts = 256
)

// Count is what an entry tells of its requests of one customer.
type Count struct {
	// Customer is the hash of the customer's name.
	Customer uint64
	// Admitted is the number of requests admitted since the start of the sender, less
	// those given back. In a summary, it has those of all entries of the data centre
	// since the start of the relay.
	Admitted int64
	// Level is the sender's estimate of the customer's level.
	Level float64
}

// Report has the counts of another entry, or those of another data centre from one of its
// relays.
type Report struct {
	// Peer and Incarnation identify the entry, or the relay.
	Peer        string
	Incarnation uint64
	// Sequence increases with each report of one incarnation.
	Sequence uint64
	// SummaryOf is the data centre that a summary is of, otherwise empty.
	SummaryOf string
	Counts    []Count
}

// source is an entry or a relay whose counts are applied.
type source struct {
	incarnation uint64
	// heardAt is the time of the last report; zero if there was none since startedAt.
	heardAt time.Time
	// rejoinedAt is the time of the first report after a silence; zero if there was none.
	rejoinedAt time.Time
	// counted holds the latest counts of this incarnation, by customer.
	counted map[uint64]countedReport
}

// countedReport is the latest count of a source.
type countedReport struct {
	sequence uint64
	admitted int64
	at       time.Time
}

// added is the difference that a count makes.
type added struct {
	requests int64
	// duringSilence is set if a part of the requests was admitted while the source was
	// silent.
	duringSilence bool
}

// reportState is what was told about an account.
type reportState struct {
	admitted  int64
	sentAt    time.Time
	changedAt time.Time
}

// Counts returns the counts that are news to the other entries, sorted by customer.
func (l *Ledger) Counts(now time.Time) []Count {
	l.advance(now)
	var counts []Count
	for hash, a := range l.news {
		if now.Sub(a.report.changedAt) >= repeatFor && a.admitted == a.report.admitted {
			delete(l.news, hash)
			continue
		}
		if len(counts) < maxCounts && l.isDue(now, a, a.report, a.admitted) {
			a.report.admitted, a.report.sentAt = a.admitted, now
			a.unconfirmed.recordSent(now, a.admitted)
			counts = append(counts, Count{hash, a.admitted, a.knownLevel()})
		}
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Customer, b.Customer) })
	return counts
}

// isDue reports whether a count has to be told now.
func (l *Ledger) isDue(now time.Time, a *account, told reportState, admitted int64) bool {
	if now.Sub(told.sentAt) >= lazyInterval {
		return true
	}
	unreported := math.Abs(float64(admitted - told.admitted))
	if unreported == 0 {
		return false
	}
	l.leak(a)
	if a.level+assumedUnreported*unreported >= urgentLevel*l.capacity(a.limit) {
		return true
	}
	l.confirm(a)
	unknown := float64(a.admitted - a.unconfirmed.confirmed)
	return unknown >= urgentLevel*l.unconfirmedRoom(a, unknown)
}

// noteChange records that there is news of an account.
func (l *Ledger) noteChange(now time.Time, hash uint64, a *account) {
	a.report.changedAt = now
	l.news[hash] = a
	l.noteDataCentreChange(now, hash, a)
}

// ApplyCounts applies the report of another entry, or the summary of another data centre.
// Reports may be late, repeated, lost or in any order.
func (l *Ledger) ApplyCounts(now time.Time, report Report) {
	l.advance(now)
	if report.SummaryOf != "" {
		l.applySummary(now, report)
		return
	}
	m := l.hear(now, report.Peer, report.Incarnation)
	if m == nil {
		return
	}
	covered := l.isSummarized(now, m.dataCentre)
	for _, count := range report.Counts {
		a := l.account(count.Customer)
		news, fresh := l.countFrom(now, &m.source, a, report.Sequence, count)
		if !fresh || covered {
			continue
		}
		l.add(now, a, news, count.Level)
		if m.dataCentre == l.options.DataCentre {
			a.dataCentreAdmitted += news.requests
			l.noteDataCentreChange(now, count.Customer, a)
		}
	}
}

// countFrom records a count of a source. It returns the requests that the source has
// admitted since its previous count; fresh is false for a count that is not later.
func (l *Ledger) countFrom(now time.Time, s *source, a *account, sequence uint64, count Count) (news added, fresh bool) {
	counted, known := s.counted[count.Customer]
	if known && sequence <= counted.sequence {
		return added{}, false
	}
	s.counted[count.Customer] = countedReport{sequence, count.Admitted, now}
	switch {
	case known:
		return added{count.Admitted - counted.admitted, counted.at.Before(s.rejoinedAt)}, true
	case s.incarnation > l.options.Incarnation:
		// The source started later, so what it counted before is recent, or has leaked.
		return added{requests: max(0, min(count.Admitted, int64(math.Ceil(count.Level))))}, true
	}
	// Most of the count may be older than this entry. The level tells how much is not.
	l.leak(a)
	return added{requests: max(0, min(count.Admitted, int64(math.Ceil(count.Level-a.level))))}, true
}

// add adds requests of a source to a level. What a source admitted while it was silent
// has leaked in part since: the level of the source tells how much is left.
func (l *Ledger) add(now time.Time, a *account, news added, heardLevel float64) {
	if !a.limit.Limited() {
		if heardLevel >= a.heardLevel || now.Sub(a.heardLevelAt) >= 2*lazyInterval {
			a.heardLevel, a.heardLevelAt = heardLevel, now
		}
		return
	}
	l.recordUsage(a, news.requests, false)
	l.leak(a)
	before := a.level
	a.level = max(0, a.level+float64(news.requests))
	if news.duringSilence {
		used := min(a.credit, max(0, a.level-max(before, heardLevel)))
		a.level -= used
		a.credit -= used
	}
}
