package dispatch

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rateMemory is the time constant with which requests to a rate-limited upstream are
	// forgotten. An upstream that got none for a while takes about as many at once as it
	// accepts in this time, which serves a part of a burst.
	rateMemory = 1500 * time.Millisecond
	// rankDelay is the time for which a daemon leaves the next request of a rate-limited
	// upstream to a daemon of better rank. It covers the way of a load report.
	rankDelay = 50 * time.Millisecond
	// maxLevel limits the level of an upstream, in multiples of its capacity: however many
	// requests were sent, it gets further ones after a few rateMemory.
	maxLevel = 4
	// ranksPerRequest is the number of daemons that may send without waiting for each
	// request that the limit leaves room for. Few of them have one to send at the time.
	ranksPerRequest = 2
	// minRateChange is the share by which a limit must change to be reported.
	minRateChange = 0.1
	// batchRateShare is the share of what a rate-limited upstream takes at once that batch
	// leaves to online requests. It is less if they used less of the limits lately.
	batchRateShare = 0.5
	// remoteBatchShare is the share of a rate limit that is set aside for batch from other
	// data centres while it comes, if only summaries of the loads there are known. Online
	// requests from there are not sent.
	remoteBatchShare = 0.25
	// remoteBatchTime is the time for which the share is set aside after a summary with more
	// batch. Summaries are up to 200 ms old.
	remoteBatchTime = 2 * rateMemory
	// levelUnit is the resolution of the recorded peaks of online levels.
	levelUnit = 0.01
	// minAcceptedRate is the number of requests a second that an upstream gets whatever it
	// states: only its answers tell when a limit ends.
	minAcceptedRate = 0.1
	// rateShareTime is the time for which load reports repeat a statement, and for which
	// the end of a limit is remembered. rateExpiry is the least time without a statement
	// after which a limit is forgotten, rateExpiryRequests the number of requests that the
	// upstream accepts meanwhile.
	rateShareTime      = 10 * time.Second
	rateExpiry         = 10 * time.Second
	rateExpiryRequests = 3
)

// RateNotice says how many requests a second one start of an upstream accepts from all
// daemons together, as it stated in an answer.
type RateNotice struct {
	Upstream    string
	StartUnixMs uint64
	// PerSecond is +Inf if the upstream states no limit.
	PerSecond float64
	// Age is the time since the answer.
	Age time.Duration
	// Request is the ID of the answered request; empty in a notice from a load report.
	Request string
	Source  NoticeSource
}

// RateChange reports that a pool has learned that a rate limit of an upstream began, ended
// or changed.
type RateChange struct {
	RateNotice
	// Previous is the limit that was known before, +Inf if there was none.
	Previous float64
}

// rateLimit is the rate limit of one start of an upstream, and an estimate of the requests
// that all daemons have sent it lately. Daemons tell each other how many they have sent
// since they know of the limit. The estimate decays, so that the estimates of daemons that
// began at different times become the same.
type rateLimit struct {
	startUnixMs uint64
	// perSecond is the latest statement, +Inf once the limit has ended, and statedAt the
	// time at which it was made.
	perSecond float64
	statedAt  time.Time
	// reported is the limit as of the last RateChange.
	reported float64
	// heardPerSecond is the latest statement in an answer to this daemon or its workers,
	// heardAt the time of the answer.
	heardPerSecond float64
	heardAt        time.Time
	knownSince     time.Time
	// level is the number of recent requests at levelAt, each of which decays with
	// rateMemory.
	level   float64
	levelAt time.Time
	// onlineLevel is the part of the level that is not batch. For an upstream whose loads are
	// known from a summary, level has the requests of this daemon only, and onlineLevel those
	// of the upstream's data centre if summaryHasLevel is set.
	onlineLevel     float64
	summaryHasLevel bool
	// remoteBatchAt is the time of the last summary with more batch than the one before.
	remoteBatchAt time.Time
	// sent counts the requests of this daemon, sentAt is the time of the last one;
	// peerSent counts those of other daemons, by their ID.
	sent     uint32
	sentAt   time.Time
	peerSent map[string]peerCount
	// total is the sum of all counts. It changes the ranks of the daemons.
	total uint32
	// rank is valid for rankTotal and rankPeers.
	rank      int
	rankTotal uint32
	rankPeers uint64
}

// peerCount is the number of requests that one incarnation of a daemon has sent.
type peerCount struct {
	incarnation uint64
	sent        uint32
}

func (l *rateLimit) ended() bool { return math.IsInf(l.perSecond, 1) }

// decay brings the level up to date.
func (l *rateLimit) decay(now time.Time) {
	if elapsed := now.Sub(l.levelAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(rateMemory))
		l.level *= factor
		l.onlineLevel *= factor
		l.levelAt = now
	}
}

// add counts requests of a class.
func (l *rateLimit) add(now time.Time, requests uint32, class Class) {
	l.decay(now)
	l.total += requests
	l.level += float64(requests)
	if class == Online {
		l.onlineLevel += float64(requests)
	}
	if !l.ended() {
		l.level = min(l.level, maxLevel*rateCapacity(l.perSecond))
		l.onlineLevel = min(l.onlineLevel, l.level)
	}
}

// rateCapacity returns the level that a request may reach at a rate. Requests in equal
// intervals, each sent as soon as it may, come at just that rate.
func rateCapacity(perSecond float64) float64 {
	return -1 / math.Expm1(-1/(max(perSecond, minAcceptedRate)*rateMemory.Seconds()))
}

// RecordRate records what an upstream stated about the rate of requests that it accepts,
// unless a later statement is known.
func (p *Pool) RecordRate(now time.Time, notice RateNotice) {
	if u, known := p.upstreams[notice.Upstream]; !known || u.StartUnixMs > notice.StartUnixMs {
		return
	}
	limit := p.rateLimits[notice.Upstream]
	statedAt := now.Add(-notice.Age)
	if limit == nil || limit.startUnixMs < notice.StartUnixMs {
		if math.IsInf(notice.PerSecond, 1) {
			return
		}
		limit = &rateLimit{
			startUnixMs: notice.StartUnixMs, perSecond: math.Inf(1), reported: math.Inf(1), knownSince: now, peerSent: make(map[string]peerCount),
			// What was sent before is unknown.
			level: rateCapacity(notice.PerSecond), levelAt: now,
		}
		p.rateLimits[notice.Upstream] = limit
		p.bindRateLimit(notice.Upstream)
	}
	if limit.startUnixMs > notice.StartUnixMs {
		return
	}
	if notice.Source != SourceReport {
		limit.heardPerSecond, limit.heardAt = notice.PerSecond, now
	}
	if statedAt.Before(limit.statedAt) {
		return
	}
	limit.statedAt = statedAt
	limit.perSecond = notice.PerSecond
	if differs(limit.reported, notice.PerSecond) {
		p.rateChanges = append(p.rateChanges, RateChange{notice, limit.reported})
		limit.reported = notice.PerSecond
		p.grantQueued(now)
	}
}

// differs reports whether a limit differs from another one by minRateChange or more.
func differs(a, b float64) bool {
	if math.IsInf(a, 1) || math.IsInf(b, 1) {
		return a != b
	}
	return math.Abs(a-b) > minRateChange*max(a, b)
}

// bindRateLimit sets the limit in the record of an upstream if it concerns its start.
func (p *Pool) bindRateLimit(id string) {
	u, known := p.upstreams[id]
	if !known {
		return
	}
	u.rateLimit = nil
	if limit := p.rateLimits[id]; limit != nil && limit.startUnixMs == u.StartUnixMs {
		u.rateLimit = limit
	}
}

// RateChanges returns the changes of rate limits since the last call.
func (p *Pool) RateChanges() []RateChange {
	changes := p.rateChanges
	p.rateChanges = nil
	return changes
}

// expireRateLimits forgets limits that have ended, or that nothing was heard of.
func (p *Pool) expireRateLimits(now time.Time) {
	for id, limit := range p.rateLimits {
		expiry := rateShareTime
		if !limit.ended() {
			expiry = max(rateExpiry, time.Duration(rateExpiryRequests/max(limit.perSecond, minAcceptedRate)*float64(time.Second)))
		}
		if now.Sub(limit.statedAt) < expiry {
			continue
		}
		delete(p.rateLimits, id)
		p.bindRateLimit(id)
		if !limit.ended() {
			notice := RateNotice{Upstream: id, StartUnixMs: limit.startUnixMs, PerSecond: math.Inf(1), Source: SourceExpiry}
			p.rateChanges = append(p.rateChanges, RateChange{notice, limit.reported})
		}
	}
}

// rateRoom returns the number of requests of a class that the rate limit of an upstream
// leaves this daemon now, for a request that has waited for some time.
func (p *Pool) rateRoom(now time.Time, u *upstreamState, class Class, waited time.Duration) int {
	if !u.rateLimited() {
		return math.MaxInt
	}
	limit := u.rateLimit
	limit.decay(now)
	perSecond, level := limit.perSecond, limit.level
	switch {
	case class == Batch && p.batchSpareOf(now, p.rateGroupOf(u)).spare < 1:
		return 0
	case p.isLargeFleet() && u.coarse:
		return limit.remoteRoom(class)
	case p.isLargeFleet() && now.Sub(limit.remoteBatchAt) < remoteBatchTime:
		perSecond *= 1 - remoteBatchShare
	}
	capacity := rateCapacity(perSecond)
	if class == Batch {
		capacity -= min(batchRateShare, p.batchSpareOf(now, p.rateGroupOf(u)).onlineShare) * (capacity - 1)
	}
	rank := p.rateRank(u)
	// The level as of the time when a daemon of the best rank might have sent.
	level *= math.Exp(float64(rank) * rankDelay.Seconds() / rateMemory.Seconds())
	room := max(0, int(capacity-level))
	if class == Online && rank > ranksPerRequest*room+int(waited/rankDelay) {
		return 0
	}
	return (room + rank) / (rank + 1)
}

// remoteRoom returns the number of requests that the limit leaves for a daemon of another data
// centre that knows only a summary of the loads there.
func (l *rateLimit) remoteRoom(class Class) int {
	switch {
	case class == Online:
		return 0
	case l.summaryHasLevel:
		return max(0, int(rateCapacity((1-remoteBatchShare)*l.perSecond)-l.level-l.onlineLevel))
	}
	return max(0, int(rateCapacity(remoteBatchShare*l.perSecond)-l.level))
}

// batchSpare is what the rate limits of a service's upstreams leave to batch, in requests.
type batchSpare struct {
	at    time.Time
	spare float64
	// onlineShare is the share of the limits that online requests used lately at their peak.
	onlineShare float64
}

// rateGroup names upstreams whose rate limits online requests of the same daemons use.
type rateGroup struct {
	service string
	// dataCentre is empty unless online requests are sent within their data centre only.
	dataCentre string
}

func (p *Pool) rateGroupOf(u *upstreamState) rateGroup {
	if p.isLargeFleet() {
		return rateGroup{u.Service, u.DataCentre}
	}
	return rateGroup{service: u.Service}
}

// batchSpareOf returns how many batch items the rate limits of a group leave now to batch.
// Online requests come first: batch leaves as much as online requests used lately at their
// peak, over all daemons as far as they are known. Where online requests are refused because
// of the limits, that is all.
func (p *Pool) batchSpareOf(now time.Time, group rateGroup) *batchSpare {
	cached := getOrCreate(p.batchSpares, group)
	if cached.at.Equal(now) {
		return cached
	}
	onlinePeak, capacity, used := 0.0, 0.0, 0.0
	if peak := p.onlineRatePeaks[group]; peak != nil {
		onlinePeak = float64(peak.highest()) * levelUnit
	}
	for _, u := range p.sortedUpstreams {
		if !u.rateLimited() || !u.accepts() || p.rateGroupOf(u) != group {
			continue
		}
		limit := u.rateLimit
		limit.decay(now)
		used += limit.level
		if !u.coarse {
			used -= limit.onlineLevel
		}
		// Where the limit is used up, the level is between the capacity and one less.
		capacity += rateCapacity(limit.perSecond) - 0.5
	}
	*cached = batchSpare{at: now, spare: capacity - onlinePeak - used, onlineShare: onlinePeak / max(1, capacity)}
	return cached
}

// recordOnlineRatePeaks records how much of their rate limits the upstreams of each group use
// for online requests.
func (p *Pool) recordOnlineRatePeaks(now time.Time) {
	maps.DeleteFunc(p.onlineRatePeaks, func(_ rateGroup, peak *slidingMax) bool { return peak.expired(now) })
	if len(p.rateLimits) == 0 {
		clear(p.batchSpares)
		return
	}
	levels := make(map[rateGroup]float64)
	for _, u := range p.sortedUpstreams {
		if u.rateLimited() {
			u.rateLimit.decay(now)
			levels[p.rateGroupOf(u)] += u.rateLimit.onlineLevel
		}
	}
	for group, level := range levels {
		getOrCreate(p.onlineRatePeaks, group).record(now, int(level/levelUnit))
	}
}

// isLargeFleet reports whether only summaries of the loads of some data centres are known.
func (p *Pool) isLargeFleet() bool { return len(p.summarized) > 0 }

// rateRank returns the rank of this daemon among those that may send the next request to
// an upstream. It is drawn anew after each request; daemons with the same counts draw the
// same order.
func (p *Pool) rateRank(u *upstreamState) int {
	limit := u.rateLimit
	if limit.rankTotal == limit.total && limit.rankPeers == p.peersChange {
		return limit.rank
	}
	limit.rank, limit.rankTotal, limit.rankPeers = 0, limit.total, p.peersChange
	own := rankHash(u.ID, p.options.Daemon, limit.total)
	for peer, report := range p.peerReports {
		if !report.Summary && rankHash(u.ID, peer, limit.total) < own {
			limit.rank++
		}
	}
	return limit.rank
}

func rankHash(upstream, daemon string, total uint32) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + strconv.FormatUint(uint64(total), 10) + "\x00" + daemon)
}

// rateLimited reports whether a rate limit of the upstream is in force.
func (u *upstreamState) rateLimited() bool { return u.rateLimit != nil && !u.rateLimit.ended() }

// rateBlocked reports whether only the rate limit keeps some upstream from running a
// request.
func (p *Pool) rateBlocked(now time.Time, request *SlotRequest) bool {
	for _, u := range p.sortedUpstreams {
		if request.fits(u) && u.online() < u.Slots && p.rateRoom(now, u, request.Class, 0) == 0 {
			return true
		}
	}
	return false
}

// countRateLimited counts a grant of this pool.
func (p *Pool) countRateLimited(now time.Time, u *upstreamState, class Class) {
	if u.rateLimit != nil {
		u.rateLimit.add(now, 1, class)
		if class == Batch {
			getOrCreate(p.batchSpares, p.rateGroupOf(u)).spare--
		}
		u.rateLimit.sent++
		u.rateLimit.sentAt = now
	}
}

// UpstreamRate is what a load report tells of an upstream with a rate limit.
type UpstreamRate struct {
	// Stated is set if the daemon tells a statement of the upstream: that it accepts
	// PerSecond requests a second, +Inf without a limit, made Age ago by the start at
	// StartUnixMs.
	Stated    bool
	PerSecond float64
	Age       time.Duration
	// StartUnixMs is the start time of the upstream, zero if unknown.
	StartUnixMs uint64
	// Sent counts the requests of the daemon since it knows of the limit, which is for
	// KnownFor. In a summary, it is about the number of online requests that the upstream got
	// from its data centre in the last KnownFor.
	Sent     uint32
	KnownFor time.Duration
}

// ownRate returns what this daemon tells of the rate limit of an upstream in its load
// report. It tells the statements that it heard itself only.
func (u *upstreamState) ownRate(now time.Time) UpstreamRate {
	limit := u.rateLimit
	if limit == nil {
		return UpstreamRate{}
	}
	rate := UpstreamRate{StartUnixMs: u.StartUnixMs}
	if now.Sub(limit.heardAt) < rateShareTime {
		rate.Stated, rate.PerSecond, rate.Age = true, limit.heardPerSecond, now.Sub(limit.heardAt)
	}
	if now.Sub(limit.sentAt) < rateShareTime {
		rate.Sent, rate.KnownFor = limit.sent, now.Sub(limit.knownSince)
	}
	return rate
}

// knownRate returns what is known of the rate limit of an upstream, for the summary of its
// data centre.
func (u *upstreamState) knownRate(now time.Time) UpstreamRate {
	if u.rateLimit == nil {
		return UpstreamRate{}
	}
	u.rateLimit.decay(now)
	return UpstreamRate{
		Stated: true, PerSecond: u.rateLimit.perSecond, Age: now.Sub(u.rateLimit.statedAt), StartUnixMs: u.StartUnixMs,
		Sent: uint32(math.Ceil(u.rateLimit.onlineLevel)), KnownFor: rateMemory,
	}
}

func (r *UpstreamRate) empty() bool { return !r.Stated && r.Sent == 0 }

// applyRateNotices applies the statements in a load report. They may be in any order.
func (p *Pool) applyRateNotices(now time.Time, report LoadReport) {
	for _, load := range report.Loads {
		if load.Rate.Stated {
			p.RecordRate(now, RateNotice{
				Upstream: load.Upstream, StartUnixMs: load.Rate.StartUnixMs, PerSecond: load.Rate.PerSecond, Age: load.Rate.Age, Source: SourceReport,
			})
		}
	}
}

// countPeerRequests counts the requests that another daemon has sent to rate-limited
// upstreams since its last report. The first count of a daemon that knew of the limit
// before this one is no news: the level began as if the upstream had got all that it takes.
func (p *Pool) countPeerRequests(now time.Time, report LoadReport) {
	for _, load := range report.Loads {
		u, known := p.upstreams[load.Upstream]
		if !known || load.Rate.Sent == 0 || u.rateLimit == nil || load.Rate.StartUnixMs != u.StartUnixMs {
			continue
		}
		limit := u.rateLimit
		counted, seen := limit.peerSent[report.Peer]
		if counted.incarnation != report.Incarnation || counted.sent > load.Rate.Sent {
			counted.sent = 0
		}
		if seen || load.Rate.KnownFor <= now.Sub(limit.knownSince) {
			class := Online
			if load.Online == 0 && load.Batch > 0 {
				class = Batch
			}
			limit.add(now, load.Rate.Sent-counted.sent, class)
		}
		limit.peerSent[report.Peer] = peerCount{report.Incarnation, load.Rate.Sent}
	}
}

// applySummaryRates takes the use of rate limits from the summary of another data centre: that
// of the upstreams there, and whether batch from there goes to upstreams here. An upstream there
// without a statement in the summary has got no online request lately. A statement without a
// use is that of an older build.
func (p *Pool) applySummaryRates(now time.Time, previous, report LoadReport) {
	if len(p.rateLimits) == 0 {
		return
	}
	for id, limit := range p.rateLimits {
		if u, known := p.upstreams[id]; known && u.DataCentre == report.DataCentre {
			limit.onlineLevel, limit.summaryHasLevel = 0, true
		}
	}
	batch := make(map[string]int, len(previous.Loads))
	for _, load := range previous.Loads {
		batch[load.Upstream] = load.Batch
	}
	for _, load := range report.Loads {
		u, known := p.upstreams[load.Upstream]
		if !known || u.rateLimit == nil {
			continue
		}
		switch {
		case u.DataCentre != report.DataCentre:
			if load.Batch > batch[load.Upstream] {
				u.rateLimit.remoteBatchAt = now
			}
		case load.Rate.Stated && load.Rate.StartUnixMs == u.StartUnixMs:
			u.rateLimit.decay(now)
			u.rateLimit.onlineLevel, u.rateLimit.summaryHasLevel = float64(load.Rate.Sent), load.Rate.KnownFor > 0
		}
	}
}
