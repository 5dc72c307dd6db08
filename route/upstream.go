package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/briarcross/briarcross/pb"
)

const (
	// unknownWindow stands in for the window of an upstream that has reported none.
	unknownWindow = 8
	// staleHalfLife is the time after which a reported load counts half.
	staleHalfLife = time.Second
	// loadFresh is the age below which a load from an answer is kept when
	// another is announced.
	loadFresh = 200 * time.Millisecond
	// slowLimit bounds the factor by which a slow upstream's load is raised.
	slowLimit = 16.0
	// failuresToEject is the number of failures in a row that ejects an upstream.
	failuresToEject = 3
	// ejectFirst and ejectLongest bound the time of an ejection.
	ejectFirst   = 2 * time.Second
	ejectLongest = 30 * time.Second
	// returnTime is the time over which a returning upstream gets its share back.
	returnTime = 10 * time.Second
	// returnShare is the share that it gets at first.
	returnShare = 0.1
)

// Upstream is one incarnation of a member, as seen from one entry.
type Upstream struct {
	member *pb.Member
	hash   uint64
	load   *pb.Load
	// loadAt is the time of the last report.
	loadAt time.Time
	// inFlight attempts were sent by this entry.
	inFlight int
	// others is the load that other entries put on the upstream.
	others    int
	failures  int
	ejections int
	ejected   time.Time
	lastFault time.Time
}

func newUpstream(now time.Time, member *pb.Member) *Upstream {
	u := &Upstream{hash: xxhash.Sum64String(member.GetId())}
	u.announce(now, member)
	return u
}

// Member returns the member as last announced.
func (u *Upstream) Member() *pb.Member { return u.member }

func (u *Upstream) announce(now time.Time, member *pb.Member) {
	u.member = member
	u.announceLoad(now, member.GetLoad())
}

// announceLoad takes over an announced load unless an answer has brought one
// lately.
func (u *Upstream) announceLoad(now time.Time, load *pb.Load) {
	if now.Sub(u.loadAt) >= loadFresh {
		u.report(now, load)
	}
}

func (u *Upstream) serves() bool {
	return u.member.GetState() == pb.MemberState_MEMBER_SERVING
}

func (u *Upstream) isEjected(now time.Time) bool {
	return now.Before(u.ejected)
}

// share returns the share of its normal load that an upstream may carry; it
// grows from returnShare to one after an ejection.
func (u *Upstream) share(now time.Time) float64 {
	if u.ejections == 0 {
		return 1
	}
	since := float64(now.Sub(u.ejected)) / float64(returnTime)
	return min(returnShare+since*(1-returnShare), 1)
}

func (u *Upstream) window() int {
	if window := u.load.GetWindow(); window > 0 {
		return int(window)
	}
	return unknownWindow
}

// pending estimates the online work that the upstream holds.
func (u *Upstream) pending(now time.Time) float64 {
	age := float64(now.Sub(u.loadAt)) / float64(staleHalfLife)
	return float64(u.inFlight) + float64(u.others)*math.Exp2(-age)
}

// fill returns the pending work as a share of the window.
func (u *Upstream) fill(now time.Time) float64 {
	return u.pending(now) / (float64(u.window()) * u.share(now))
}

// cost returns the fill after one more request, raised for an upstream that is
// slower than the fastest.
func (u *Upstream) cost(now time.Time, fastest uint32) float64 {
	next := (u.pending(now) + 1) / (float64(u.window()) * u.share(now))
	return next * u.slowness(fastest)
}

func (u *Upstream) slowness(fastest uint32) float64 {
	between := u.load.GetBetweenTokensUs()
	if fastest == 0 || between <= fastest {
		return 1
	}
	return min(float64(between)/float64(fastest), slowLimit)
}

// report takes over the load that came with an answer.
func (u *Upstream) report(now time.Time, load *pb.Load) {
	if load == nil {
		return
	}
	u.load = load
	u.loadAt = now
	held := int(load.GetRunningOnline() + load.GetQueuedOnline())
	u.others = max(held-u.inFlight, 0)
}

func (u *Upstream) succeeded(now time.Time) {
	u.failures = 0
	if u.ejections > 0 && now.Sub(u.ejected) > returnTime {
		u.ejections = 0
	}
}

// failed counts a failure and reports whether the upstream should be ejected.
func (u *Upstream) failed(now time.Time) bool {
	u.failures++
	u.lastFault = now
	return u.failures >= failuresToEject && !u.isEjected(now)
}

func (u *Upstream) eject(now time.Time) {
	const maxDoublings = 8
	length := ejectFirst << min(u.ejections, maxDoublings)
	u.ejected = now.Add(min(length, ejectLongest))
	u.ejections++
	// After its return one more failure ejects it again.
	u.failures = failuresToEject - 1
}
