package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarcross/briarcross/pb"
)

const (
	// defaultWindow stands in for the window of an upstream that has reported none.
	defaultWindow = 8
	// reportedLoadHalfLife is the time after which a reported load counts half.
	reportedLoadHalfLife = time.Second
	// freshLoadAge is the age below which a load from an answer is kept when
	// another is announced.
	freshLoadAge = 200 * time.Millisecond
	// maxSlowdown bounds the factor by which a slow upstream's load is raised.
	maxSlowdown = 16.0
	// ejectionThreshold is the number of failures in a row that ejects an upstream.
	ejectionThreshold = 3
	// baseEjectionTime and ejectLongest bound the time of an ejection.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 30 * time.Second
	// recoveryTime is the time over which a returning upstream gets its share back.
	recoveryTime = 10 * time.Second
	// initialShare is the share that it gets at first.
	initialShare = 0.1
)

// Upstream is one incarnation of a member, as seen from one entry.
type Upstream struct {
	member *pb.Member
	idHash uint64
	load   *pb.Load
	// loadReportedAt is the time of the last report.
	loadReportedAt time.Time
	// inFlight attempts were sent by this entry.
	inFlight int
	// pendingElsewhere is the load that other entries put on the upstream.
	pendingElsewhere    int
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	lastFailure         time.Time
}

func newUpstream(now time.Time, member *pb.Member) *Upstream {
	u := &Upstream{idHash: xxhash.Sum64String(member.GetId())}
	u.applyAnnouncement(now, member)
	return u
}

// Member returns the member as last announced.
func (u *Upstream) Member() *pb.Member { return u.member }

func (u *Upstream) applyAnnouncement(now time.Time, member *pb.Member) {
	u.member = member
	u.applyAnnouncedLoad(now, member.GetLoad())
}

// applyAnnouncedLoad takes over an announced load unless an answer has brought one
// lately.
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

// capacityShare returns the capacityShare of its normal load that an upstream may carry; it
// grows from returnShare to one after an ejection.
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

// pending estimates the online work that the upstream holds.
func (u *Upstream) pending(now time.Time) float64 {
	age := float64(now.Sub(u.loadReportedAt)) / float64(reportedLoadHalfLife)
	return float64(u.inFlight) + float64(u.pendingElsewhere)*math.Exp2(-age)
}

// utilization returns the pending work as a share of the window.
func (u *Upstream) utilization(now time.Time) float64 {
	return u.pending(now) / (float64(u.window()) * u.capacityShare(now))
}

// cost returns the fill after one more request, raised for an upstream that is
// slower than the fastest.
func (u *Upstream) cost(now time.Time, minTokenInterval uint32) float64 {
	utilization := (u.pending(now) + 1) / (float64(u.window()) * u.capacityShare(now))
	return utilization * u.slowdown(minTokenInterval)
}

func (u *Upstream) slowdown(minTokenInterval uint32) float64 {
	tokenInterval := u.load.GetBetweenTokensUs()
	if minTokenInterval == 0 || tokenInterval <= minTokenInterval {
		return 1
	}
	return min(float64(tokenInterval)/float64(minTokenInterval), maxSlowdown)
}

// recordLoad takes over the load that came with an answer.
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

// recordFailure counts a failure and reports whether the upstream should be ejected.
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
	// After its return one more failure ejects it again.
	u.consecutiveFailures = ejectionThreshold - 1
}
