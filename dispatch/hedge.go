package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Load pattern: some engines are several times slower than the others for spells of half
// a second to some seconds. Their requests are the slowest of the service, while other
// engines have free slots. A hedge sends such a request to a second engine and takes the
// response that begins first.

const (
	// MaxRace is the longest time for which two attempts of a request run side by side.
	// Engines may not work on one request twice for over 400 ms; the rest is the time in
	// which a cancelled attempt ends.
	MaxRace = 350 * time.Millisecond
	// minHedgeSamples is the number of observations below which nothing is hedged.
	minHedgeSamples = 20
	// hedgeBurst is the largest number of hedges that a budget saves up. When all engines
	// become slow at once, each entry sends so many hedges, and then its share.
	hedgeBurst = 2
	// outlierFactor is the time to the first event, as a multiple of the median, of one
	// request that is added to the observations. It has a delay follow from observations
	// in which no request was slow.
	outlierFactor = 8
	// usualShare is the share of first events that come before any hedge, however slow the
	// engine was lately and however close the objective is. With half of them, most hedges
	// at engines that had recovered were lost.
	usualShare = 0.9
	// engineTimesMemory is the time constant with which the observations of one engine lose
	// weight against those of its service, engineTimesExpiry the age at which they are
	// dropped. A slow spell lasts for about a second.
	engineTimesMemory = 2 * time.Second
	engineTimesExpiry = 10 * time.Second
	// engineTimesWeight is the weight of the latest observation of an engine.
	engineTimesWeight = 0.5
	// slowEngineDoublings is the binary logarithm of the factor by which an engine is slower
	// than its service from which it gets no hedges.
	slowEngineDoublings = 1
	// tokenTolerance makes up for rounding: a hundred times 0.01 is one token.
	tokenTolerance = 1e-9
)

// HedgeDenial is the reason for which a request is not hedged.
type HedgeDenial string

// The reasons for which a request is not hedged. The first ones are known when the request
// is sent, the others arise when it would be hedged.
const (
	// HedgeNotRepeatable means that the request may not run twice.
	HedgeNotRepeatable HedgeDenial = "not_repeatable"
	// HedgeResumed means that the caller has a part of the response already.
	HedgeResumed HedgeDenial = "resumed"
	// HedgeMaxAttempts means that no two further upstreams may get the request.
	HedgeMaxAttempts HedgeDenial = "max_attempts"
	// HedgeRepeated means that the request was hedged before.
	HedgeRepeated HedgeDenial = "hedged_before"
	// HedgeSuspected means that the request may crash engines.
	HedgeSuspected HedgeDenial = "suspected"
	// HedgeOverQuota means that the customer may send no further request now.
	HedgeOverQuota HedgeDenial = "over_quota"
	// HedgeNoData means that too few first events were observed lately.
	HedgeNoData HedgeDenial = "no_data"
	// HedgeTooSlow means that first events usually take longer than MaxRace.
	HedgeTooSlow HedgeDenial = "too_slow"
	// HedgeDeadline means that a second attempt would hardly respond before the deadline.
	HedgeDeadline HedgeDenial = "deadline"
	// HedgeWaiting means that requests wait for a slot.
	HedgeWaiting HedgeDenial = "requests_wait"
	// HedgeBudget means that the share of requests that may be hedged is used up.
	HedgeBudget HedgeDenial = "budget"
	// HedgeNoRoom means that no other upstream has enough free slots.
	HedgeNoRoom HedgeDenial = "no_room"
	// HedgeRateLimited means that only upstreams with a rate limit have enough free slots.
	HedgeRateLimited HedgeDenial = "rate_limited"
	// HedgeEnginesSlow means that the upstreams with enough free slots are slow as well.
	HedgeEnginesSlow HedgeDenial = "engines_slow"
)

// HedgeReason tells what the delay of a hedge follows from.
type HedgeReason string

// The reasons of hedges.
const (
	// FirstEventLate means that most first events of the service come earlier.
	FirstEventLate HedgeReason = "first_event_late"
	// EngineSlow means the same for an engine that was slow lately.
	EngineSlow HedgeReason = "engine_slow"
	// ObjectiveAtRisk means that a later hedge would hardly meet the latency objective.
	ObjectiveAtRisk HedgeReason = "objective_at_risk"
)

// HedgeRequest is what a hedge depends on besides the slot request.
type HedgeRequest struct {
	Route string
	// Share is the share of the route's requests that may be hedged.
	Share float64
	// Again is set unless this is the first attempt of the request.
	Again bool
	// Whole is set for responses that are no streams: the whole response counts as the
	// first event.
	Whole      bool
	Repeatable bool
	// Resumed is set if the caller has a part of the response.
	Resumed bool
	// MayHaveRun is the number of upstreams that may have run the request, without the
	// attempt that is about to be hedged; MaxAttempts limits it.
	MayHaveRun  int
	MaxAttempts int
	// Hedged is set if the request was hedged before.
	Hedged bool
	// Suspected is set if the request or a part of its prompt is suspected to crash engines.
	Suspected bool
	// OverQuota is set if the customer may send no further request now.
	OverQuota bool
	// LatencyObjective is that of the route, Elapsed the time since the request arrived, and
	// TimeLeft the time until its deadline.
	LatencyObjective time.Duration
	Elapsed          time.Duration
	TimeLeft         time.Duration
}

// denied returns the reason for which the request is never hedged, if there is one.
func (r *HedgeRequest) denied() HedgeDenial {
	switch {
	case !r.Repeatable:
		return HedgeNotRepeatable
	case r.Resumed:
		return HedgeResumed
	case r.MayHaveRun+2 > r.MaxAttempts:
		return HedgeMaxAttempts
	case r.Hedged:
		return HedgeRepeated
	case r.Suspected:
		return HedgeSuspected
	case r.OverQuota:
		return HedgeOverQuota
	}
	return ""
}

// HedgePlan tells after which time without a first event an attempt is hedged.
type HedgePlan struct {
	// Denied is empty if the attempt may be hedged.
	Denied HedgeDenial
	Delay  time.Duration
	Reason HedgeReason
	// Samples is the number of observations of the service, the latest one SamplesAge ago.
	Samples    int
	SamplesAge time.Duration
	// EngineFactor is the factor by which the engine is slower than its service, one if
	// unknown, and EngineAge the time since it was last observed.
	EngineFactor float64
	EngineAge    time.Duration
}

// hedging is the state of a pool for hedged requests. It is empty while none are hedged.
type hedging struct {
	times map[firstEventsOf]*firstEventTimes
	// budgets is keyed by route. Those without recent requests were last dropped at
	// budgetsExpiredAt.
	budgets          map[string]*hedgeBudget
	budgetsExpiredAt time.Time
}

// firstEventsOf identifies the requests whose first events are alike.
type firstEventsOf struct {
	service string
	whole   bool
	// crowded is set if the engine was nearly full when it got the request.
	crowded bool
}

// engineTimes compares the first events of one start of an upstream with those of its
// service.
type engineTimes struct {
	startUnixMs uint64
	// doublings is a moving average of the binary logarithm of the factor by which it is
	// slower, as of the last observation.
	doublings float64
	at        time.Time
}

// hedgeBudget is the token bucket of a route. Each request adds the share of the route, a
// hedge takes one token. It starts empty, so that the hedges of all entries never exceed
// that share of their requests.
type hedgeBudget struct {
	tokens float64
	usedAt time.Time
}

func timesOf(grant Grant, whole bool) firstEventsOf {
	return firstEventsOf{grant.Service, whole, grant.FreeSlots < spareThreshold}
}

// RecordFirstEvent records the time that an attempt took to its first event or, if it was
// cancelled before that, the time for which it ran.
func (p *Pool) RecordFirstEvent(now time.Time, grant Grant, whole, cancelled bool, took time.Duration) {
	h := &p.hedging
	key := timesOf(grant, whole)
	times := h.times[key]
	if times == nil {
		if h.times == nil {
			h.times = make(map[firstEventsOf]*firstEventTimes)
		}
		times = &firstEventTimes{}
		h.times[key] = times
	}
	if cancelled {
		times.addUnfinished(now, took)
	} else {
		times.add(now, took)
	}
	if counts, total := times.counts(now); total >= minHedgeSamples && took > 0 {
		p.recordEngineTime(now, grant, math.Log2(float64(took)/float64(counts.quantile(total, 0.5))))
	}
}

// recordEngineTime records the binary logarithm of the factor by which a first event of an
// upstream came later than most of its service.
func (p *Pool) recordEngineTime(now time.Time, grant Grant, doublings float64) {
	u, known := p.upstreams[grant.Upstream]
	if !known || u.StartUnixMs != grant.StartUnixMs {
		return
	}
	if u.firstEvents.known(now, u.StartUnixMs) {
		doublings = engineTimesWeight*doublings + (1-engineTimesWeight)*u.firstEvents.doublings
	}
	u.firstEvents = engineTimes{grant.StartUnixMs, doublings, now}
}

func (t *engineTimes) known(now time.Time, startUnixMs uint64) bool {
	return t.startUnixMs == startUnixMs && now.Sub(t.at) < engineTimesExpiry
}

// ownDoublings returns the binary logarithm of the factor by which a start of an upstream
// is slower than its service, and the time since it was observed. Both are zero if it is
// unknown.
func (u *upstreamState) ownDoublings(now time.Time) (doublings float64, age time.Duration) {
	if !u.firstEvents.known(now, u.StartUnixMs) {
		return 0, 0
	}
	age = now.Sub(u.firstEvents.at)
	return u.firstEvents.doublings * math.Exp(-age.Seconds()/engineTimesMemory.Seconds()), age
}

// muchSlower reports whether the upstream was much slower lately than its service.
func (u *upstreamState) muchSlower(now time.Time) bool {
	if u.firstEvents.doublings < slowEngineDoublings {
		return false
	}
	doublings, _ := u.ownDoublings(now)
	return doublings >= slowEngineDoublings
}

// PlanHedge tells when an attempt is hedged, and counts the request for the budget of its
// route if it is the first attempt.
func (p *Pool) PlanHedge(now time.Time, grant Grant, request HedgeRequest) HedgePlan {
	h := &p.hedging
	if !request.Again {
		h.countRequest(now, request)
	}
	if denied := request.denied(); denied != "" {
		return HedgePlan{Denied: denied}
	}
	key := timesOf(grant, request.Whole)
	counts, total, lastAt := h.observed(now, key)
	key.crowded = false
	// The second attempt gets an engine with free slots.
	spareCounts, spareTotal, _ := h.observed(now, key)
	plan := HedgePlan{Samples: int(total), EngineFactor: 1}
	if total < minHedgeSamples {
		plan.Denied = HedgeNoData
		return plan
	}
	plan.SamplesAge = now.Sub(lastAt)
	fresh := spareCounts.quantile(spareTotal, 0.5)
	if fresh > MaxRace {
		plan.Denied = HedgeTooSlow
		return plan
	}
	doublings := 0.0
	if u, known := p.upstreams[grant.Upstream]; known && u.StartUnixMs == grant.StartUnixMs {
		doublings, plan.EngineAge = u.ownDoublings(now)
		plan.EngineFactor = math.Exp2(doublings)
	}
	usual, _ := bestDelay(counts, total, fresh, request.Share)
	plan.Delay, plan.Reason = usual, FirstEventLate
	// Smaller factors are within the noise of single observations.
	if doublings >= slowEngineDoublings {
		buckets := int(math.Round(bucketsPerDoubling * doublings))
		if own, _ := bestDelay(counts.shifted(buckets), total, fresh, request.Share); own < usual {
			plan.Delay, plan.Reason = own, EngineSlow
		}
	}
	plan.Delay = max(plan.Delay, counts.quantile(total, usualShare))
	atRisk := request.LatencyObjective - request.Elapsed - spareCounts.quantile(spareTotal, usualShare)
	if atRisk = max(atRisk, counts.quantile(total, usualShare)); request.LatencyObjective > 0 && atRisk < plan.Delay {
		plan.Delay, plan.Reason = atRisk, ObjectiveAtRisk
	}
	if plan.Delay+fresh >= request.TimeLeft {
		plan.Denied = HedgeDeadline
	}
	return plan
}

// observed returns the histogram of requests alike. Without enough observations it is that
// of the same service under another load.
func (h *hedging) observed(now time.Time, key firstEventsOf) (counts firstEventCounts, total float64, lastAt time.Time) {
	for range 2 {
		if times := h.times[key]; times != nil {
			if counts, total = times.counts(now); total >= minHedgeSamples {
				return counts, total, times.lastAt
			}
		}
		key.crowded = !key.crowded
	}
	return firstEventCounts{}, 0, time.Time{}
}

// bestDelay returns the delay that shortens the times to the first event most, given those
// observed and the time that a second attempt takes. A short delay spends the budget on
// requests that are hardly late, a long one leaves little to gain. value is the time saved
// for an average request.
func bestDelay(counts firstEventCounts, total float64, fresh time.Duration, share float64) (delay time.Duration, value float64) {
	counts[bucketOf(outlierFactor*fresh)]++
	total++
	delay = bucketEdge(firstEventBuckets - 1)
	// hedged counts the requests that have no event after the delay. late counts those of
	// them that a second attempt would overtake, and lateSeconds is the sum of their times.
	hedged, late, lateSeconds := 0.0, 0.0, 0.0
	overtaken := firstEventBuckets
	for bucket := firstEventBuckets - 2; bucket >= 0; bucket-- {
		hedged += counts[bucket+1]
		second := bucketEdges[bucket] + fresh.Seconds()
		for overtaken > bucket+1 && bucketMiddles[overtaken-1] > second {
			overtaken--
			late += counts[overtaken]
			lateSeconds += counts[overtaken] * bucketMiddles[overtaken]
		}
		if hedged == 0 {
			continue
		}
		saved := (lateSeconds - late*second) * min(1, share*total/hedged) / total
		if saved > value {
			delay, value = bucketEdge(bucket), saved
		}
	}
	return delay, value
}

// bucketEdges and bucketMiddles hold the times of buckets in seconds.
var bucketEdges, bucketMiddles = bucketTimes()

func bucketTimes() (edges, middles [firstEventBuckets]float64) {
	for bucket := range firstEventBuckets {
		edges[bucket], middles[bucket] = bucketEdge(bucket).Seconds(), bucketMiddle(bucket).Seconds()
	}
	return edges, middles
}

func (h *hedging) countRequest(now time.Time, request HedgeRequest) {
	if h.budgets == nil {
		h.budgets = make(map[string]*hedgeBudget)
	}
	if now.Sub(h.budgetsExpiredAt) >= firstEventWindow {
		h.budgetsExpiredAt = now
		maps.DeleteFunc(h.budgets, func(_ string, b *hedgeBudget) bool { return now.Sub(b.usedAt) >= budgetExpiry })
		maps.DeleteFunc(h.times, func(_ firstEventsOf, t *firstEventTimes) bool { return now.Sub(t.lastAt) >= 2*firstEventWindow })
	}
	budget := getOrCreate(h.budgets, request.Route)
	budget.tokens = min(hedgeBurst, budget.tokens+request.Share)
	budget.usedAt = now
}

// budgetExpiry is the time without requests after which the budget of a route is dropped.
// It is long, since a route with few requests saves its tokens over minutes.
const budgetExpiry = 10 * time.Minute

// GrantHedge grants a second slot for a request that has had no first event within its
// delay, or tells why it gets none. first is the grant of the attempt that runs.
func (p *Pool) GrantHedge(now time.Time, first Grant, slotRequest SlotRequest, request HedgeRequest) (Grant, HedgeDenial) {
	if denied := request.denied(); denied != "" {
		return Grant{}, denied
	}
	if slices.ContainsFunc(p.queue, func(waiting queuedRequest) bool { return slotRequest.competesWith(&waiting.slotRequest) }) {
		return Grant{}, HedgeWaiting
	}
	budget := p.hedging.budgets[request.Route]
	if budget == nil || budget.tokens < 1-tokenTolerance {
		return Grant{}, HedgeBudget
	}
	u, denied := p.pickHedge(now, first, slotRequest)
	if u == nil {
		return Grant{}, denied
	}
	budget.tokens = max(0, budget.tokens-1)
	return p.assign(now, u, queuedRequest{slotRequest: slotRequest, queuedAt: now, retrying: first.Retrying}), ""
}

// pickHedge returns the upstream for a second attempt. Unlike pick, it takes only healthy
// ones that have spareThreshold free slots left with the attempt, so that the attempt
// keeps no other request waiting and preempts no batch.
func (p *Pool) pickHedge(now time.Time, first Grant, request SlotRequest) (*upstreamState, HedgeDenial) {
	denied := HedgeNoRoom
	memory := p.memoryLimitOf(now, &request)
	var best bestCandidate
	for _, u := range p.sortedUpstreams {
		c := candidate{upstream: u, tier: localSpare, free: u.free() - 1}
		threshold := spareThreshold
		if u.DataCentre != p.options.DataCentre {
			c.tier, threshold = remoteSpare, p.remoteSpareThreshold(u)
		}
		drawn := c.tier == remoteSpare && u.coarse
		if drawn {
			c.weight = float64(max(1, c.free))
		}
		if c.free < threshold || !drawn && !best.wouldTake(&c) {
			continue
		}
		if u.ID == first.Upstream || !request.fits(u) || slices.Contains(request.Avoid, u.ID) || now.Before(request.NotBefore[u.ID]) {
			continue
		}
		if u.Silent || u.isSuspect(now) || !u.belowFailureLimit(now) {
			continue
		}
		if memory.capacity > 0 && !p.hasMemory(u, &request, memory, 0) {
			continue
		}
		if u.rateLimited() {
			denied = HedgeRateLimited
			continue
		}
		if u.muchSlower(now) {
			if denied == HedgeNoRoom {
				denied = HedgeEnginesSlow
			}
			continue
		}
		draw := 0.0
		if drawn {
			draw = p.rand.Float64()
		}
		best.consider(&c, draw)
	}
	return best.upstream, denied
}

// wouldTake reports whether a candidate that is not drawn replaces the best one.
func (best *bestCandidate) wouldTake(c *candidate) bool {
	return best.upstream == nil || c.tier < best.tier || c.tier == best.tier && c.better(&best.candidate)
}

// OldestLoadAge returns the age of the oldest load report that the pool uses.
func (p *Pool) OldestLoadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, report := range p.peerReports {
		oldest = max(oldest, now.Sub(report.received))
	}
	return oldest
}
