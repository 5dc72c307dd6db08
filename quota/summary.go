package quota

import (
	"cmp"
	"slices"
	"time"
)

// summaryTimeout is the age at which the summary of a data centre no longer stands for
// its entries.
const summaryTimeout = 2 * time.Second

// summarySettleTime is the time after the first summary of a data centre that was silent
// within which the counts of its entries have arrived: each of two reports on the way may
// be lazyInterval late.
const summarySettleTime = 2*lazyInterval + 200*time.Millisecond

// summarized is what a ledger knows of another data centre from the summaries of its relays.
// The relays count the same requests, so the one that has counted most of a customer is
// followed.
type summarized struct {
	// source holds the times of the summaries of all relays.
	source
	// silent holds the numbers of silent members that the relays reported.
	silent map[string]silentCount
	relays map[string]*source
	// applied holds the requests that the levels have, by customer, and counts those that
	// each relay has reported, on the same scale.
	applied map[uint64]int64
	counts  map[relayCustomer]int64
}

// silentCustomer stands in the counts of a summary for the number of silent members of its
// data centre, which other data centres cannot know. No name is likely to have this hash.
const silentCustomer = 0

// silentCount is the number of silent members of a data centre.
type silentCount struct {
	members int
	heardAt time.Time
}

type relayCustomer struct {
	relay    string
	customer uint64
}

// Summary returns the counts of all entries of this data centre that are news to other
// data centres, sorted by customer.
func (l *Ledger) Summary(now time.Time) []Count {
	l.advance(now)
	var counts []Count
	if silent := l.silentHere(now); silent > 0 {
		counts = append(counts, Count{Customer: silentCustomer, Admitted: int64(silent)})
	}
	for hash, a := range l.dataCentreNews {
		told := &a.summary
		if now.Sub(told.changedAt) >= repeatFor && a.dataCentreAdmitted == told.admitted {
			delete(l.dataCentreNews, hash)
			continue
		}
		if len(counts) < maxCounts && l.isDue(now, a, *told, a.dataCentreAdmitted) {
			told.admitted, told.sentAt = a.dataCentreAdmitted, now
			counts = append(counts, Count{hash, a.dataCentreAdmitted, a.knownLevel()})
		}
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Customer, b.Customer) })
	return counts
}

func (l *Ledger) noteDataCentreChange(now time.Time, hash uint64, a *account) {
	a.summary.changedAt = now
	l.dataCentreNews[hash] = a
}

// applySummary applies the summary of another data centre.
func (l *Ledger) applySummary(now time.Time, report Report) {
	if report.SummaryOf == l.options.DataCentre {
		return
	}
	dc := l.summaries[report.SummaryOf]
	if dc == nil {
		dc = &summarized{silent: make(map[string]silentCount), relays: make(map[string]*source), applied: make(map[uint64]int64), counts: make(map[relayCustomer]int64)}
		l.summaries[report.SummaryOf] = dc
	}
	relay := dc.relays[report.Peer]
	if relay == nil {
		relay = newSource()
		dc.relays[report.Peer] = relay
	}
	if !relay.hear(now, report.Incarnation) {
		return
	}
	dc.source.hear(now, 0)
	if l.firstHeard.IsZero() {
		l.firstHeard = now
	}
	for _, count := range report.Counts {
		if count.Customer == silentCustomer {
			dc.silent[report.Peer] = silentCount{int(count.Admitted), now}
			continue
		}
		a := l.account(count.Customer)
		_, known := relay.counted[count.Customer]
		news, fresh := l.countFrom(now, relay, a, report.Sequence, count)
		if !fresh {
			continue
		}
		key := relayCustomer{report.Peer, count.Customer}
		if !known {
			if _, other := dc.applied[count.Customer]; other {
				// Another relay has reported these requests, unless it is cut off.
				news.requests = 0
			}
			dc.counts[key] = dc.applied[count.Customer]
		}
		dc.counts[key] += news.requests
		news.requests = dc.counts[key] - dc.applied[count.Customer]
		if news.requests <= 0 && !dc.isLeading(key) {
			continue
		}
		dc.applied[count.Customer] = dc.counts[key]
		l.add(now, a, news, count.Level)
	}
}

// isLeading reports whether no other relay has reported more of a customer.
func (s *summarized) isLeading(key relayCustomer) bool {
	for relay := range s.relays {
		if relay != key.relay && s.counts[relayCustomer{relay, key.customer}] > s.counts[key] {
			return false
		}
	}
	return true
}

// isSummarized reports whether the entries of a data centre are counted by its summaries.
func (l *Ledger) isSummarized(now time.Time, dataCentre string) bool {
	dc, known := l.summaries[dataCentre]
	return known && now.Sub(dc.heardAt) < summaryTimeout
}

// silentHere returns the number of silent members of this data centre.
func (l *Ledger) silentHere(now time.Time) int {
	silent := 0
	for id, m := range l.members {
		if m.listed && id != l.options.Self && m.dataCentre == l.options.DataCentre && !l.inTouch(now, m) && m.vanishedAt.IsZero() {
			silent++
		}
	}
	return silent
}

// silentElsewhere returns the number of silent members of the other data centres that are
// in touch, and adds the times at which these were heard to heardTimes.
func (l *Ledger) silentElsewhere(now time.Time) int {
	total := 0
	for _, dc := range l.summaries {
		if !dc.inTouch(now, summarySettleTime) {
			continue
		}
		l.heardTimes = append(l.heardTimes, dc.heardAt.Add(-summaryTravel))
		most := 0
		for _, silent := range dc.silent {
			if now.Sub(silent.heardAt) < silentAfter {
				most = max(most, silent.members)
			}
		}
		total += most
	}
	return total
}
