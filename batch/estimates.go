package batch

import (
	"math"
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	estimateInterval = time.Second
	// rateWindow is the time constant of the completion rate.
	rateWindow = 20 * time.Second
	// runTimeShare is the weight of one run in the usual run time.
	runTimeShare = 0.05
	minWeight    = 1.0 / 16
	maxWeight    = 1.0
)

// serviceRate is how fast the items of a service complete.
type serviceRate struct {
	perSecond float64
	counted   int
	known     bool
	updatedAt time.Time
	// runTime is the usual time from lease to result, zero when unknown.
	runTime time.Duration
	// weight is the sum of the shares of the service's jobs.
	weight float64
	// dryVersion is the scheduler's work version at which no item of the
	// service was available.
	dryVersion uint64
}

// count notes a completed item.
func (r *serviceRate) count() {
	r.counted++
}

// observe notes how long an item ran.
func (r *serviceRate) observe(runTime time.Duration) {
	if r.runTime == 0 {
		r.runTime = runTime
		return
	}
	r.runTime += time.Duration(runTimeShare * float64(runTime-r.runTime))
}

// update folds the items counted during elapsed into the rate.
func (r *serviceRate) update(elapsed time.Duration) {
	current := float64(r.counted) / elapsed.Seconds()
	r.counted = 0
	if !r.known {
		r.known = current > 0
		r.perSecond = current
		return
	}
	keep := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.perSecond = keep*r.perSecond + (1-keep)*current
}

func (t *jobTable) rate(service string) *serviceRate {
	r, ok := t.rates[service]
	if !ok {
		r = &serviceRate{}
		t.rates[service] = r
	}
	return r
}

// estimateJobs renews the weights and the expected ends of the running jobs.
func (s *Scheduler) estimateJobs(now time.Time) {
	if now.Before(s.nextEstimate) {
		return
	}
	elapsed := now.Sub(s.lastEstimate)
	s.nextEstimate = now.Add(estimateInterval)
	s.lastEstimate = now
	s.dropStale()
	if len(s.jobs.order) == 0 || elapsed > rateWindow {
		return
	}
	s.updateRates(now, elapsed)
	s.weighJobs(now)
	s.speculative = false
	for _, run := range s.jobs.order {
		s.estimateJob(now, run)
		s.speculative = s.speculative || s.speculable(now, run)
	}
	s.workAdded = s.workAdded || s.speculative
}

// dropStale forgets jobs that a restored state does not hold.
func (s *Scheduler) dropStale() {
	for i := len(s.jobs.order) - 1; i >= 0; i-- {
		run := s.jobs.order[i]
		if s.state.live[run.job.GetJobId()] != run.live {
			s.replace(run)
		}
	}
}

func (s *Scheduler) replace(run *jobRun) {
	s.jobs.remove(run)
	if l, ok := s.state.runningJob(run.job.GetJobId()); ok {
		s.jobs.add(l)
		s.addWork()
	}
}

// updateRates renews the rate of each service that has running jobs.
func (s *Scheduler) updateRates(now time.Time, elapsed time.Duration) {
	for _, run := range s.jobs.order {
		r := s.jobs.rate(run.job.GetService())
		if r.updatedAt.Equal(now) {
			continue
		}
		r.updatedAt = now
		r.weight = 0
		r.update(elapsed)
	}
}

// weighJobs gives each job the share of its service's capacity that it needs
// to end in time. When all shares fit, each job gets at least what it needs.
func (s *Scheduler) weighJobs(now time.Time) {
	for _, run := range s.jobs.order {
		run.share.total = 0
	}
	for _, run := range s.jobs.order {
		run.weight = s.pressure(now, run)
		run.share.total += run.weight
	}
	for _, run := range s.jobs.order {
		run.share.weight = min(run.share.total, maxWeight)
		s.jobs.rate(run.job.GetService()).weight += run.portion()
	}
}

// portion is the weight of a job among all jobs of its service.
func (r *jobRun) portion() float64 {
	return r.share.weight * r.weight / r.share.total
}

// pressure is the share of its service's capacity that a job needs.
func (s *Scheduler) pressure(now time.Time, run *jobRun) float64 {
	rate := s.jobs.rate(run.job.GetService())
	if !rate.known || rate.perSecond == 0 {
		return maxWeight
	}
	left := max(run.due().Sub(now), time.Second)
	need := float64(run.remaining()) / rate.perSecond / left.Seconds()
	return min(max(need, minWeight), maxWeight)
}

func (s *Scheduler) estimateJob(now time.Time, run *jobRun) {
	if run.job.GetState() != pb.JobState_JOB_RUNNING {
		return
	}
	rate := s.jobs.rate(run.job.GetService())
	if !rate.known || rate.perSecond < math.SmallestNonzeroFloat32 {
		atRisk := now.After(run.due()) || s.unserved(run)
		s.state.setEstimate(run.job.GetJobId(), Estimate{AtRisk: atRisk})
		return
	}
	share := run.portion() / rate.weight
	left := float64(run.remaining()) / (rate.perSecond * share)
	finish := uint64(now.UnixMilli()) + uint64(left*1000)
	atRisk := time.UnixMilli(int64(finish)).After(run.due())
	s.state.setEstimate(run.job.GetJobId(), Estimate{FinishUnixMs: finish, AtRisk: atRisk})
}

// unserved reports whether a leader that has heard from the live workers knows
// none for a job.
func (s *Scheduler) unserved(run *jobRun) bool {
	return s.leading && !s.inGrace && s.workers.serving[run.job.GetService()] == 0
}
