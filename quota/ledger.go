package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarcross/briarcross/customers"
)

const (
	// settleTime is the time after the first report of another entry for which a ledger
	// that has started assumes full buckets. All recent counts arrive within it, because
	// the others report them at least every lazyInterval.
	settleTime = lazyInterval + 100*time.Millisecond
	// maxGap is the time without a call after which the host counts as frozen: others may
	// have taken it for lost, and what it knows of them is outdated.
	maxGap = time.Second
	// maxPromised limits the refused requests that Retry-After makes room for, in windows at
	// the rate of the limit. Most callers that were refused long ago have given up.
	maxPromised = 1.0
)

// Options are the options of a Ledger.
type Options struct {
	// Self is the ID of the entry, DataCentre the one that it is in. Incarnation is that of
	// its reports; later starts of any entry have higher ones.
	Self        string
	DataCentre  string
	Incarnation uint64
	// Window is the length of the sliding window in which a quota is checked.
	Window time.Duration
	// Over and Slack are the tolerance: the share and the number of requests by which all
	// entries together may exceed a quota in a window.
	Over  float64
	Slack float64
}

// Ledger counts the requests of customers that have a quota.
type Ledger struct {
	options  Options
	accounts map[uint64]*account
	members  map[string]*member
	// startedAt is the time from which the ledger knows what others do: that of its first
	// call, or of the first one after a gap.
	startedAt time.Time
	lastCall  time.Time
	// firstHeard is the time of the first report of another entry since startedAt.
	firstHeard time.Time
	// share is the part of each limit that the entries in touch may use, as of shareAt.
	share   float64
	shareAt time.Time
	// supply is the time for which buckets have leaked, each period multiplied by the
	// share in it. supplyAt is the time up to which it is known.
	supply   float64
	supplyAt time.Time
	// reducedAt is the last time at which the share was below 1.
	reducedAt time.Time

	// listed is the number of members that have a share, and confirmedAt the time up to
	// which those in touch have got the reports of this entry, both as of shareAt.
	listed      int
	confirmedAt time.Time
	heardTimes  []time.Time
	// controlAt is the last time at which the entry was in touch with control.
	controlAt time.Time
	// summaries holds the other data centres that are known by summaries.
	summaries map[string]*summarized
	// news and dataCentreNews hold the accounts whose counts are reported or repeated.
	news           map[uint64]*account
	dataCentreNews map[uint64]*account
	transitions    []Transition
}

// account is what a ledger knows of one customer.
type account struct {
	// customer is the name; empty until the first request here.
	customer string
	limit    customers.Quota
	// level is the number of requests of all entries in the bucket at leakedAt. leakedTo is
	// the supply then.
	level    float64
	leakedTo float64
	leakedAt time.Time
	// leakedLately is about what has leaked in the last silentAfter.
	leakedLately float64
	// credit is what would have leaked in touch with all entries. It sets off the requests
	// that silent ones report when they are heard again.
	credit float64
	// heardLevel is the highest level that others reported lately. It counts when the first
	// request comes, which tells the limit.
	heardLevel   float64
	heardLevelAt time.Time
	// admitted is the number of requests admitted here less those given back,
	// dataCentreAdmitted that of all entries of the data centre.
	admitted           int64
	dataCentreAdmitted int64
	report             reportState
	summary            reportState
	unconfirmed        unconfirmed
	// promised is the number of refused requests that were told when to come back, as of
	// promisedAt.
	promised   float64
	promisedAt time.Time
	excess     excess
}

// New returns a ledger without members. It admits nothing until SetMembers.
func New(options Options) *Ledger {
	return &Ledger{
		options: options, accounts: make(map[uint64]*account), members: make(map[string]*member), summaries: make(map[string]*summarized),
		news: make(map[uint64]*account), dataCentreNews: make(map[uint64]*account),
	}
}

// Hash returns the hash of a customer's name that Count has.
func Hash(customer string) uint64 { return xxhash.Sum64String(customer) }

// Admit decides on one request of a customer. If it is refused, it also returns the time
// after which there is room for it and for those refused before it.
func (l *Ledger) Admit(now time.Time, customer string, limit customers.Quota) (admitted bool, retryAfter time.Duration) {
	if !limit.Limited() {
		return true, 0
	}
	l.advance(now)
	hash := Hash(customer)
	a := l.account(hash)
	a.customer = customer
	l.setLimit(now, a, limit)
	l.leak(a)
	l.confirm(a)
	capacity := l.capacity(limit) * l.share
	if a.level+1 <= capacity && l.mayLeaveUnconfirmed(a) && l.settled(now) {
		a.level++
		a.admitted++
		a.dataCentreAdmitted++
		l.noteChange(now, hash, a)
		return true, 0
	}
	l.noteRefusal(now, a)
	return false, l.retryAfter(now, a, capacity)
}

// SetLimits replaces the limits in force, by the names of the customers that have one. It
// makes the ledger count the requests of customers that have sent none here.
func (l *Ledger) SetLimits(now time.Time, limits map[string]customers.Quota) {
	l.advance(now)
	inForce := make(map[uint64]bool, len(limits))
	for customer, limit := range limits {
		hash := Hash(customer)
		inForce[hash] = true
		a := l.account(hash)
		a.customer = customer
		l.setLimit(now, a, limit)
	}
	for hash, a := range l.accounts {
		if !inForce[hash] && a.admitted == 0 {
			l.forget(hash)
		}
	}
}

// ChangeLimits replaces the limits of some customers by their names. One without a limit is no
// longer counted.
func (l *Ledger) ChangeLimits(now time.Time, limits map[string]customers.Quota) {
	l.advance(now)
	for customer, limit := range limits {
		hash := Hash(customer)
		a, known := l.accounts[hash]
		switch {
		case limit.Limited():
			a = l.account(hash)
			a.customer = customer
			l.setLimit(now, a, limit)
		case known && a.admitted == 0:
			l.forget(hash)
		}
	}
}

// forget removes an account. Its count must be 0: others take a lower one for requests
// that were given back.
func (l *Ledger) forget(hash uint64) {
	delete(l.accounts, hash)
	delete(l.news, hash)
	delete(l.dataCentreNews, hash)
}

// Return gives back an admitted request that certainly has not run.
func (l *Ledger) Return(now time.Time, customer string) {
	hash := Hash(customer)
	a, known := l.accounts[hash]
	if !known {
		return
	}
	l.advance(now)
	l.leak(a)
	a.admitted--
	a.dataCentreAdmitted--
	a.level = max(0, a.level-1)
	l.noteChange(now, hash, a)
}

// Tick updates what depends on the time only. The host calls it several times in maxGap.
func (l *Ledger) Tick(now time.Time) {
	l.advance(now)
	l.expire(now)
	for _, a := range l.accounts {
		if a.level > 0 || a.credit > 0 || a.excess.refused > 0 {
			l.leak(a)
			l.noteQuiet(now, a)
		}
	}
}

// AssumeHeard makes the ledger start in touch with all members. The host calls it when the
// first customer gets a quota while the entries run.
func (l *Ledger) AssumeHeard(now time.Time) {
	l.advance(now)
	for _, m := range l.members {
		m.heardAt, m.rejoinedAt = now, time.Time{}
	}
	l.firstHeard = now.Add(-settleTime)
	l.shareAt = time.Time{}
}

// advance brings the share and the supply up to date, and starts anew after a gap.
func (l *Ledger) advance(now time.Time) {
	switch {
	case l.lastCall.IsZero():
		l.startedAt, l.supplyAt = now, now
	case now.Sub(l.lastCall) > maxGap:
		l.restart(now)
		l.reducedAt = now
	}
	l.lastCall = now
	if elapsed := now.Sub(l.supplyAt); elapsed > 0 {
		l.supply += elapsed.Seconds() * l.share
		l.supplyAt = now
	}
	if l.share < 1 {
		l.reducedAt = now
	}
	l.updateShare(now)
}

// restart forgets who was in touch. The counts stay, so that each request counts once.
func (l *Ledger) restart(now time.Time) {
	l.startedAt, l.firstHeard, l.shareAt = now, time.Time{}, time.Time{}
	for _, m := range l.members {
		m.heardAt = time.Time{}
	}
}

// settled reports whether the ledger has heard the recent counts of the others.
func (l *Ledger) settled(now time.Time) bool {
	if len(l.members) == 1 && l.members[l.options.Self] != nil {
		return true
	}
	return !l.firstHeard.IsZero() && now.Sub(l.firstHeard) >= settleTime
}

func (l *Ledger) account(hash uint64) *account {
	a, known := l.accounts[hash]
	if !known {
		a = &account{leakedTo: l.supply, leakedAt: l.supplyAt}
		l.accounts[hash] = a
	}
	return a
}

// setLimit applies the limit that is in force. After a lower limit, the bucket is at most
// full: what was admitted under the higher one is not held against the customer.
func (l *Ledger) setLimit(now time.Time, a *account, limit customers.Quota) {
	if a.limit == limit {
		return
	}
	if !a.limit.Limited() {
		a.leakedTo, a.leakedAt = l.supply, l.supplyAt
		a.level = max(0, a.heardLevel-limit.PerSecond*now.Sub(a.heardLevelAt).Seconds())
	}
	l.leak(a)
	a.limit = limit
	a.level = min(a.level, max(1, limit.Burst))
}

// leak brings the level up to date. A negative supply restores what has leaked on behalf of
// members that turn out to be silent.
func (l *Ledger) leak(a *account) {
	elapsed := l.supplyAt.Sub(a.leakedAt)
	a.leakedLately *= max(0, 1-elapsed.Seconds()/silentAfter.Seconds())
	leaked := max(-a.leakedLately, min(a.level, a.limit.PerSecond*(l.supply-a.leakedTo)))
	a.level -= leaked
	a.leakedLately += leaked
	if l.share < 1 || l.supplyAt.Sub(l.reducedAt) < 3*lazyInterval {
		a.credit += a.limit.PerSecond*elapsed.Seconds() - leaked
		a.credit = min(a.credit, a.limit.PerSecond*vanishedFor.Seconds())
	} else {
		a.credit = 0
	}
	a.leakedTo, a.leakedAt = l.supply, l.supplyAt
}

// knownLevel returns the level, or the one that others reported while the limit is unknown.
func (a *account) knownLevel() float64 {
	if !a.limit.Limited() {
		return a.heardLevel
	}
	return a.level
}

// capacity returns the level up to which requests are admitted. It has half of the
// tolerance. The other half is for what the entries do not know yet of each other.
func (l *Ledger) capacity(limit customers.Quota) float64 {
	return max(1, limit.Burst) + l.tolerance(limit)/2
}

// tolerance returns the number of requests by which a quota may be exceeded in a window.
func (l *Ledger) tolerance(limit customers.Quota) float64 {
	return l.options.Over*(limit.PerSecond*l.options.Window.Seconds()+limit.Burst) + l.options.Slack
}

// retryAfter returns when there is room for a refused request, and remembers it for the
// ones refused after it.
func (l *Ledger) retryAfter(now time.Time, a *account, capacity float64) time.Duration {
	perSecond := a.limit.PerSecond * max(l.share, minShare)
	a.promised = max(0, a.promised-perSecond*now.Sub(a.promisedAt).Seconds())
	a.promisedAt = now
	missing := max(0, a.level+1-capacity) + a.promised
	a.promised = min(a.promised+1, max(1, maxPromised*perSecond*l.options.Window.Seconds()))
	wait := missing / perSecond
	if !l.settled(now) {
		wait = max(wait, settleTime.Seconds())
	}
	return time.Duration(min(wait, math.MaxInt32) * float64(time.Second))
}
