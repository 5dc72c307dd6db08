// Upstreams of different speeds. The load pattern is a fleet with engines of three speeds,
// of which some fall to less than half of their speed for spells of half a second, while
// bursts of online requests fill nearly all slots. Counting free slots sends as many
// requests to a slow engine as to a fast one.

package dispatch

import (
	"math"
	"time"
)

const (
	// speedMemory is the time constant with which observations of the speed of an upstream
	// are forgotten, spellMemory that of observations of a spell.
	speedMemory = 15 * time.Second
	spellMemory = 150 * time.Millisecond
	// speedPriorEvents and spellPriorEvents are the numbers of events that count as
	// observed at the average speed and at the usual speed of the upstream. Single late
	// events are thus no evidence.
	speedPriorEvents = 20
	spellPriorEvents = 2
	// spellRatio is the ratio to its usual slowness from which an upstream is in a spell.
	spellRatio = 1.5
	// firstEventWeight is the weight of a first event in events. The time to it also depends
	// on the prompt and on stalls of this daemon, so that one alone is no evidence.
	firstEventWeight = 0.5
	// maxFirstSlowness bounds the slowness that follows from a first event, which may have
	// waited for a slot of the upstream.
	maxFirstSlowness = 2.5
	// noiseFactor is the number of standard errors from which a usual difference counts,
	// spellNoiseFactor that from which a spell counts: each event is a test for one.
	noiseFactor      = 3.5
	spellNoiseFactor = 5
	// maxNoise bounds the relative deviation that one observation adds to the noise.
	maxNoise = 3
	// minSpells is the decayed number of spells from which the upstreams of a service count
	// as uneven. Fewer only keep requests away from the upstream concerned.
	minSpells = 4
	// preemptingWeight, spellWeight and limitedWeight are the factors by which an upstream
	// is drawn more rarely if a batch item has to be preempted, if it is in a spell, and if
	// it has a rate limit.
	preemptingWeight = 0.2
	spellWeight      = 0.1
	limitedWeight    = 0.05
	// minDifference is the least logarithm of a slowness that makes the upstreams of a
	// service count as uneven. Of speeds 1.0, 1.0 and 1.3 the fastest are at -0.19.
	minDifference = 0.15
	// occupancyLevels is the number of shares of used slots for which the time between
	// events is learned separately, as engines slow down when they are nearly full.
	occupancyLevels = 4
	// levelPriorEvents is the number of events at which a level counts as much as all
	// levels together.
	levelPriorEvents = 20
	// maxSlowness bounds the slowness that follows from one observation. A stall of the
	// daemon or the network would otherwise count for many events.
	maxSlowness = 6
	// speedUpdateInterval is the time between two determinations of the speed classes.
	speedUpdateInterval = 250 * time.Millisecond
	// speedShareInterval is the time between two load reports with the speed of an
	// upstream, spellShareInterval that during a spell. Its begin and end are told at once.
	speedShareInterval = 500 * time.Millisecond
	spellShareInterval = 100 * time.Millisecond
	// summaryShareInterval is the time between two summaries with the speed of an upstream,
	// which counts as summaryEvents events each time.
	summaryShareInterval = time.Second
	summaryEvents        = 20
	// spellReportEvents is the least weight with which the begin of a spell is told: a daemon
	// tells it when it has seen enough events to be sure.
	spellReportEvents = 4
	// maxSharedEvents bounds the weight of a report.
	maxSharedEvents = 200
)

// decayedMean is the ratio of two sums that decay with time.
type decayedMean struct {
	observed float64
	expected float64
	at       time.Time
}

func (m *decayedMean) decay(now time.Time, memory time.Duration) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(memory))
		m.observed *= factor
		m.expected *= factor
		m.at = now
	}
}

func (m *decayedMean) add(now time.Time, memory time.Duration, observed, expected float64) {
	m.decay(now, memory)
	m.observed += observed
	m.expected += expected
}

// ratio returns the mean, with a prior of the given weight.
func (m *decayedMean) ratio(prior, weight float64) float64 {
	return (m.observed + prior*weight) / (m.expected + weight)
}

// upstreamSpeed is what is known of the speed of one start of an upstream. Slowness is the
// time that events take in relation to an average upstream of the service.
type upstreamSpeed struct {
	// usual and recent are sums of milliseconds: what events took, and what they would have
	// taken at an average upstream with as many requests.
	usual  decayedMean
	recent decayedMean
	// slowness is the usual slowness, determined at intervals.
	slowness float64
	// inSpellUntil is the time until which the upstream counts as being in a spell unless
	// further events show otherwise, spellReported whether load reports told of the spell.
	inSpellUntil  time.Time
	spellReported bool
	// unsent holds the observations of this daemon since sentAt.
	unsent progressSum
	sentAt time.Time
	// summarizedAt is the time of the last summary with the speed.
	summarizedAt time.Time
}

// progressSum sums observations of streams.
type progressSum struct {
	firsts  int
	firstMs float64
	events  int
	eventMs float64
}

// serviceSpeed holds what the upstreams of a service have in common.
type serviceSpeed struct {
	// levels holds, by share of used slots, sums of milliseconds between events and of
	// events, at an average upstream; first those of first events.
	levels [occupancyLevels]decayedMean
	first  decayedMean
	// noise is the mean squared relative deviation of single events.
	noise decayedMean
	// meanSlowness is the mean of the slownesses before they are divided by it.
	meanSlowness float64
	// spells counts the spells that began lately.
	spells decayedMean
	// uneven is set while upstreams differ by more than the noise. fastest and slowest are
	// then the limits of their slownesses.
	uneven           bool
	fastest, slowest float64
}

// exceedsNoise reports whether a relative deviation of the mean of a number of events is
// more than a number of standard errors.
func (s *serviceSpeed) exceedsNoise(deviation, events, standardErrors float64) bool {
	return deviation*deviation*events > standardErrors*standardErrors*s.noise.ratio(1, 1)
}

// expectedEventMs returns the time between events at an average upstream, zero if it is
// unknown.
func (s *serviceSpeed) expectedEventMs(level int) float64 {
	var observed, events float64
	for i := range s.levels {
		observed += s.levels[i].observed
		events += s.levels[i].expected
	}
	if events == 0 {
		return 0
	}
	return s.levels[level].ratio(observed/events, levelPriorEvents)
}

func (p *Pool) speedOf(service string) *serviceSpeed {
	speed := getOrCreate(p.serviceSpeeds, service)
	if speed.meanSlowness == 0 {
		speed.meanSlowness = 1
	}
	return speed
}

// occupancyLevel returns the level of the share of used slots.
func (u *upstreamState) occupancyLevel() int {
	used := u.online() + u.batch()
	return max(0, min(occupancyLevels-1, (used-1)*occupancyLevels/max(1, u.Slots)))
}

// RecordProgress records what a stream has delivered since the last call for its grant: its
// first event, unless firstEvent is zero, and a number of further events within a duration.
// It reports whether this is news that other daemons should learn soon.
func (p *Pool) RecordProgress(now time.Time, grant Grant, firstEvent time.Duration, events int, duration time.Duration) bool {
	u, known := p.upstreams[grant.Upstream]
	if !known || u.StartUnixMs != grant.StartUnixMs {
		return false
	}
	var sum progressSum
	if firstEvent > 0 {
		sum.firsts, sum.firstMs = 1, float64(firstEvent)/float64(time.Millisecond)
	}
	if events > 0 && duration >= 0 {
		sum.events, sum.eventMs = events, float64(duration)/float64(time.Millisecond)
	}
	wasInSpell := u.inSpell(now)
	p.observe(now, u, sum)
	speed := u.speed
	if !wasInSpell && u.inSpell(now) && sum.events > 0 {
		// The mean of earlier events would hide the spell from others.
		events := max(sum.events, spellReportEvents)
		speed.unsent = progressSum{events: events, eventMs: sum.eventMs / float64(sum.events) * float64(events)}
		return !speed.spellReported
	}
	speed.unsent.firsts += sum.firsts
	speed.unsent.firstMs += sum.firstMs
	speed.unsent.events += sum.events
	speed.unsent.eventMs += sum.eventMs
	return now.Before(speed.inSpellUntil) && !speed.spellReported
}

// observe adds observations to what is known of the speed of an upstream.
func (p *Pool) observe(now time.Time, u *upstreamState, sum progressSum) {
	if u.speed == nil {
		u.speed = &upstreamSpeed{slowness: 1}
	}
	service, speed := p.speedOf(u.Service), u.speed
	level := u.occupancyLevel()
	if sum.events > 0 {
		service.levels[level].add(now, speedMemory, sum.eventMs/speed.slowness, float64(sum.events))
	}
	eventMs := service.expectedEventMs(level)
	expected := float64(sum.events) * eventMs
	observed := min(sum.eventMs, maxSlowness*expected)
	if expected > 0 && !u.inSpell(now) {
		deviation := min(maxNoise, math.Abs(observed/(expected*speed.slowness)-1))
		service.noise.add(now, speedMemory, deviation*deviation*float64(sum.events), 1)
	}
	if sum.firsts > 0 {
		firstMs := sum.firstMs / float64(sum.firsts)
		service.first.add(now, speedMemory, firstMs/speed.slowness, 1)
		expected += firstEventWeight * eventMs
		observed += firstEventWeight * eventMs * min(maxFirstSlowness, firstMs/service.first.ratio(0, 0))
	}
	if expected == 0 {
		return
	}
	speed.usual.add(now, speedMemory, observed, expected)
	speed.recent.add(now, spellMemory, observed, expected)
	p.detectSpell(now, service, speed, eventMs)
}

// detectSpell determines until when an upstream counts as being in a spell. The recent
// observations decay, so that the prior outweighs them some time after the last one.
func (p *Pool) detectSpell(now time.Time, service *serviceSpeed, speed *upstreamSpeed, eventMs float64) {
	usual := speed.slowness * service.meanSlowness
	excess := speed.recent.observed/usual - spellRatio*speed.recent.expected
	least := (spellRatio - 1) * spellPriorEvents * eventMs
	events := speed.recent.expected / eventMs
	if excess <= least || !service.exceedsNoise(speed.recent.ratio(0, 0)/usual-1, events, spellNoiseFactor) {
		speed.inSpellUntil = time.Time{}
		return
	}
	if !now.Before(speed.inSpellUntil) {
		service.spells.add(now, speedMemory, 1, 0)
	}
	speed.inSpellUntil = now.Add(time.Duration(math.Log(excess/least) * float64(spellMemory)))
}

// updateSpeeds determines at intervals which upstreams are faster and slower than others.
func (p *Pool) updateSpeeds(now time.Time) {
	if len(p.serviceSpeeds) == 0 || now.Sub(p.speedsUpdatedAt) < speedUpdateInterval {
		return
	}
	p.speedsUpdatedAt = now
	for name, service := range p.serviceSpeeds {
		p.updateServiceSpeed(now, name, service)
	}
}

func (p *Pool) updateServiceSpeed(now time.Time, name string, service *serviceSpeed) {
	eventMs := service.expectedEventMs(occupancyLevels / 2)
	service.spells.decay(now, speedMemory)
	service.uneven, service.fastest, service.slowest = service.spells.observed >= minSpells, 1, 1
	sum, count := 0.0, 0
	for _, u := range p.sortedUpstreams {
		if u.Service == name && u.speed != nil {
			u.speed.usual.decay(now, speedMemory)
			sum += u.speed.usual.ratio(1, speedPriorEvents*eventMs)
			count++
		}
	}
	if count == 0 || eventMs == 0 {
		return
	}
	service.meanSlowness = sum / float64(count)
	for _, u := range p.sortedUpstreams {
		if u.Service != name || u.speed == nil {
			continue
		}
		speed := u.speed
		speed.slowness = speed.usual.ratio(1, speedPriorEvents*eventMs) / service.meanSlowness
		service.fastest, service.slowest = min(service.fastest, speed.slowness), max(service.slowest, speed.slowness)
		deviation := math.Log(speed.slowness)
		service.uneven = service.uneven || math.Abs(deviation) > minDifference && service.exceedsNoise(deviation, speed.usual.expected/eventMs, noiseFactor)
	}
}

// slowness returns the usual slowness of the upstream, 1 if it is unknown.
func (u *upstreamState) slowness() float64 {
	if u.speed == nil {
		return 1
	}
	return u.speed.slowness
}

// inSpell reports whether the upstream is much slower than usual.
func (u *upstreamState) inSpell(now time.Time) bool {
	return u.speed != nil && now.Before(u.speed.inSpellUntil)
}

// SpeedRange returns the slownesses of the fastest and the slowest upstream, 1 and 1 while
// the upstreams of each service are alike.
func (p *Pool) SpeedRange() (fastest, slowest float64) {
	fastest, slowest = 1, 1
	for _, service := range p.serviceSpeeds {
		if service.uneven {
			fastest, slowest = min(fastest, service.fastest), max(slowest, service.slowest)
		}
	}
	return fastest, slowest
}

// SpellCount returns the number of upstreams that are in a spell.
func (p *Pool) SpellCount(now time.Time) int {
	count := 0
	for _, u := range p.sortedUpstreams {
		if u.inSpell(now) {
			count++
		}
	}
	return count
}

// UpstreamSpeed is what a load report tells of the speed of an upstream: means over the
// observations of the daemon since its last report that told it.
type UpstreamSpeed struct {
	// FirstMs is the time to the first event, zero if none was observed.
	FirstMs float64
	// EventMs is the time between two events, Events their number.
	EventMs float64
	Events  float64
	// StartUnixMs is the start time of the upstream, zero if unknown.
	StartUnixMs uint64
}

// plausible reports whether the values can be added: one that is not a number would stay in
// the sums.
func (s *UpstreamSpeed) plausible() bool {
	return s.Events >= 1 && s.EventMs >= 0 && s.EventMs < math.MaxInt32 && s.FirstMs >= 0 && s.FirstMs < math.MaxInt32
}

// takeSpeed returns what this daemon tells of the speed of an upstream in its next load
// report: nothing while the upstreams of the service are alike.
func (p *Pool) takeSpeed(now time.Time, u *upstreamState) UpstreamSpeed {
	speed := u.speed
	if speed == nil || speed.unsent.events == 0 {
		return UpstreamSpeed{}
	}
	inSpell := now.Before(speed.inSpellUntil)
	if !p.speedOf(u.Service).uneven && !inSpell {
		return UpstreamSpeed{}
	}
	interval := speedShareInterval
	if inSpell {
		interval = spellShareInterval
	}
	if inSpell == speed.spellReported && now.Sub(speed.sentAt) < interval {
		return UpstreamSpeed{}
	}
	shared := UpstreamSpeed{EventMs: speed.unsent.eventMs / float64(speed.unsent.events), Events: float64(min(speed.unsent.events, maxSharedEvents)), StartUnixMs: u.StartUnixMs}
	if speed.unsent.firsts > 0 {
		shared.FirstMs = speed.unsent.firstMs / float64(speed.unsent.firsts)
	}
	speed.unsent, speed.sentAt, speed.spellReported = progressSum{}, now, inSpell
	return shared
}

// summarizedSpeed returns what the summary of the data centre tells of the usual speed of an
// upstream. Spells are over before a summary can be acted on.
func (p *Pool) summarizedSpeed(now time.Time, u *upstreamState) UpstreamSpeed {
	service := p.unevenService(u.Service)
	if service == nil || u.speed == nil || now.Sub(u.speed.summarizedAt) < summaryShareInterval {
		return UpstreamSpeed{}
	}
	u.speed.summarizedAt = now
	return UpstreamSpeed{EventMs: service.expectedEventMs(u.occupancyLevel()) * u.speed.slowness, Events: summaryEvents, StartUnixMs: u.StartUnixMs}
}

// applySpeeds adds the observations in a load report.
func (p *Pool) applySpeeds(now time.Time, report LoadReport) {
	for _, load := range report.Loads {
		shared := load.Speed
		if !shared.plausible() {
			continue
		}
		u, known := p.upstreams[load.Upstream]
		if !known || u.StartUnixMs != shared.StartUnixMs {
			continue
		}
		events := int(min(shared.Events, maxSharedEvents))
		sum := progressSum{events: events, eventMs: shared.EventMs * float64(events)}
		if shared.FirstMs > 0 {
			sum.firsts, sum.firstMs = 1, shared.FirstMs
		}
		p.observe(now, u, sum)
	}
}

// unevenService returns the speeds of a service if its upstreams differ, or nil.
func (p *Pool) unevenService(name string) *serviceSpeed {
	if service := p.serviceSpeeds[name]; service != nil && service.uneven {
		return service
	}
	return nil
}

// weigh makes a candidate for an online request one of a random choice, by its free slots
// and memory and its speed. It is used where upstreams differ, and where daemons that choose
// the same upstream exceed its memory.
func (p *Pool) weigh(now time.Time, c *candidate, capacity int) {
	if c.tier >= lastResort {
		return
	}
	u := c.upstream
	c.weight = float64(u.Slots-u.online()) / u.slowness()
	if capacity > 0 {
		c.weight *= c.upstream.freeMemory(capacity)
	}
	if c.free <= 0 {
		c.weight *= preemptingWeight
	}
	if u.inSpell(now) {
		c.weight *= spellWeight
	}
	if u.rateLimited() {
		c.weight *= limitedWeight
	}
	// The loads of other data centres are known too late in a large fleet, so that its tiers
	// stay.
	if !p.isLargeFleet() {
		c.tier = localSpare
	}
}

// rankBatchBySpeed prefers the slowest upstream at which a batch item is still completed by
// its due time: the fast ones are left to online requests. An item that would be late at
// any upstream gets the fastest.
func (p *Pool) rankBatchBySpeed(c *candidate, request *SlotRequest, service *serviceSpeed) {
	if c.tier >= lastResort {
		return
	}
	slowness := c.upstream.slowness()
	runMs := float64(request.Events) * service.expectedEventMs(occupancyLevels-1) * slowness
	if !p.isLargeFleet() {
		c.tier = localFree
	}
	if runMs > float64(request.TimeToDue.Milliseconds()) {
		c.speedRank = slowness
	} else {
		c.speedRank = -slowness
	}
}
