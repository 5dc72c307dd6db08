package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarcross/briarcross/pb"
)

const (
	// defaultWindow is the window, in requests, of an upstream that has reported none.
	defaultWindow = 8
	// reportedLoadHalfLife is the age at which the reported requests of other
	// entries count half.
	reportedLoadHalfLife = time.Second
	// freshLoadAge is the age below which a recorded load, usually from a
	// response, is not replaced by an announced one.
	freshLoadAge = 200 * time.Millisecond
	// maxSlowdown limits the factor by which a slow upstream's cost is raised.
	maxSlowdown = 16.0
	// ejectionThreshold is the number of consecutive failures that ejects an upstream.
	ejectionThreshold = 3
	// baseEjectionTime is the duration of the first ejection; it doubles with each
	// further one, up to maxEjectionTime.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 30 * time.Second
	// recoveryTime is the time in which an upstream regains its full share of the
	// load after an ejection.
	recoveryTime = 10 * time.Second
	// initialShare is an upstream's share of its normal load directly after an
	// ejection.
	initialShare = 0.1
)

// Upstream is the state that one entry keeps about one incarnation of a member.
type Upstream struct {
	member *pb.Member
	idHash uint64
	// load is the last recorded load, nil before the first.
	load *pb.Load
	// loadReportedAt is when load was recorded.
	loadReportedAt time.Time
	// inFlight counts the attempts of this entry that are not done.
	inFlight int
	// pendingElsewhere counts the online requests of other entries at
	// loadReportedAt.
	pendingElsewhere    int
	consecutiveFailures int
	// ejections counts the ejections since the upstream last recovered.
	ejections    int
	ejectedUntil time.Time
	lastFailure  time.Time
}

func newUpstream(now time.Time, member *pb.Member) *Upstream {
	u := &Upstream{idHash: xxhash.Sum64String(member.GetId())}
	u.applyAnnouncement(now, member)
	return u
}

// Member returns the member as last announced, or as changed by MarkDraining.
func (u *Upstream) Member() *pb.Member { return u.member }

func (u *Upstream) applyAnnouncement(now time.Time, member *pb.Member) {
	u.member = member
	u.applyAnnouncedLoad(now, member.GetLoad())
}

// applyAnnouncedLoad records an announced load unless the recorded one is fresh.
func (u *Upstream) applyAnnouncedLoad(now time.Time, load *pb.Load) {
	if now.Sub(u.loadReportedAt) >= freshLoadAge {
		u.recordLoad(now, load)
	}
}

func (u *Upstream) isServing() bool {
	return u.member.GetState() == pb.MemberState_MEMBER_SERVING
}

func (u *Upstream) isEjected(now time.Time) bool {
	return now.Before(u.ejectedUntil)
}

// capacityShare returns the share of its normal load that the upstream may get.
// It rises linearly from initialShare to 1 after an ejection.
func (u *Upstream) capacityShare(now time.Time) float64 {
	if u.ejections == 0 {
		return 1
	}
	recovered := float64(now.Sub(u.ejectedUntil)) / float64(recoveryTime)
	return min(initialShare+recovered*(1-initialShare), 1)
}

func (u *Upstream) window() int {
	if window := u.load.GetWindow(); window > 0 {
		return int(window)
	}
	return defaultWindow
}

// pending estimates the online requests running or queued at the upstream.
func (u *Upstream) pending(now time.Time) float64 {
	age := float64(now.Sub(u.loadReportedAt)) / float64(reportedLoadHalfLife)
	return float64(u.inFlight) + float64(u.pendingElsewhere)*math.Exp2(-age)
}

// utilization returns the pending requests divided by the window, which is
// reduced during recovery.
func (u *Upstream) utilization(now time.Time) float64 {
	return u.pending(now) / (float64(u.window()) * u.capacityShare(now))
}

// cost returns the utilization with one more request, multiplied by the slowdown
// against the upstream with the shortest token interval (in microseconds).
func (u *Upstream) cost(now time.Time, minTokenInterval uint32) float64 {
	utilization := (u.pending(now) + 1) / (float64(u.window()) * u.capacityShare(now))
	return utilization * u.slowdown(minTokenInterval)
}

// slowdown returns the upstream's token interval as a multiple of the shortest
// one, at most maxSlowdown. It is 1 if either interval is unknown.
func (u *Upstream) slowdown(minTokenInterval uint32) float64 {
	tokenInterval := u.load.GetBetweenTokensUs()
	if minTokenInterval == 0 || tokenInterval <= minTokenInterval {
		return 1
	}
	return min(float64(tokenInterval)/float64(minTokenInterval), maxSlowdown)
}

// recordLoad stores a load from a response or an announcement. A nil load is
// ignored.
func (u *Upstream) recordLoad(now time.Time, load *pb.Load) {
	if load == nil {
		return
	}
	u.load = load
	u.loadReportedAt = now
	pending := int(load.GetRunningOnline() + load.GetQueuedOnline())
	u.pendingElsewhere = max(pending-u.inFlight, 0)
}

func (u *Upstream) recordSuccess(now time.Time) {
	u.consecutiveFailures = 0
	if u.ejections > 0 && now.Sub(u.ejectedUntil) > recoveryTime {
		u.ejections = 0
	}
}

// recordFailure counts a failure and reports whether the upstream is due to be
// ejected.
func (u *Upstream) recordFailure(now time.Time) bool {
	u.consecutiveFailures++
	u.lastFailure = now
	return u.consecutiveFailures >= ejectionThreshold && !u.isEjected(now)
}

func (u *Upstream) eject(now time.Time) {
	const maxDoublings = 8
	duration := baseEjectionTime << min(u.ejections, maxDoublings)
	u.ejectedUntil = now.Add(min(duration, maxEjectionTime))
	u.ejections++
	// After the ejection a single failure ejects the upstream again.
	u.consecutiveFailures = ejectionThreshold - 1
}
