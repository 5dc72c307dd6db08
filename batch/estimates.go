package batch

import (
	"math"
	"time"

	"github.com/briarcross/briarcross/pb"
)

const (
	estimateInterval = time.Second
	// rateWindow is the time constant of the moving average of a completion rate.
	rateWindow = 20 * time.Second
	// runTimeSmoothing is the weight of one run in the typical run time.
	runTimeSmoothing = 0.05
	// minWeight and maxWeight bound the share of its service's capacity that a
	// job is scheduled with.
	minWeight = 1.0 / 16
	maxWeight = 1.0
)

// serviceRate is the completion rate of a service's items.
type serviceRate struct {
	// perSecond is a moving average, valid once measured is set.
	perSecond float64
	// completions counts the items completed since updatedAt.
	completions int
	measured    bool
	updatedAt   time.Time
	// typicalRunTime is a moving average of the time from lease to result, zero
	// when unknown.
	typicalRunTime time.Duration
	// totalWeight is the sum of serviceShare over the service's jobs.
	totalWeight float64
	// noWorkVersion is the scheduler's last workVersion at which no item of the
	// service was available.
	noWorkVersion uint64
}

// addCompletion counts a completed item.
func (r *serviceRate) addCompletion() {
	r.completions++
}

// observeRunTime adds the run time of an item to the moving average.
func (r *serviceRate) observeRunTime(runTime time.Duration) {
	if r.typicalRunTime == 0 {
		r.typicalRunTime = runTime
		return
	}
	r.typicalRunTime += time.Duration(runTimeSmoothing * float64(runTime-r.typicalRunTime))
}

// updateRate adds the rate of the items completed during elapsed to the moving
// average.
func (r *serviceRate) updateRate(elapsed time.Duration) {
	current := float64(r.completions) / elapsed.Seconds()
	r.completions = 0
	if !r.measured {
		r.measured = current > 0
		r.perSecond = current
		return
	}
	decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.perSecond = decay*r.perSecond + (1-decay)*current
}

func (t *jobTable) rate(service string) *serviceRate {
	r, ok := t.rates[service]
	if !ok {
		r = &serviceRate{}
		t.rates[service] = r
	}
	return r
}

// estimateJobs updates the weights and the estimated finish times of the running
// jobs every estimateInterval.
func (s *Scheduler) estimateJobs(now time.Time) {
	if now.Before(s.nextEstimate) {
		return
	}
	elapsed := now.Sub(s.lastEstimate)
	s.nextEstimate = now.Add(estimateInterval)
	s.lastEstimate = now
	s.removeStaleJobs()
	if len(s.jobs.sorted) == 0 || elapsed > rateWindow {
		return
	}
	s.updateRates(now, elapsed)
	s.assignWeights(now)
	s.speculationPossible = false
	for _, job := range s.jobs.sorted {
		s.estimateJob(now, job)
		s.speculationPossible = s.speculationPossible || s.canSpeculate(now, job)
	}
	s.workAdded = s.workAdded || s.speculationPossible
}

// removeStaleJobs removes jobs that no longer match the state after a restore.
func (s *Scheduler) removeStaleJobs() {
	for i := len(s.jobs.sorted) - 1; i >= 0; i-- {
		job := s.jobs.sorted[i]
		if s.state.live[job.record.GetJobId()] != job.live {
			s.reloadJob(job)
		}
	}
}

// reloadJob replaces a job by its version in the state, if it still runs there.
func (s *Scheduler) reloadJob(job *scheduledJob) {
	s.jobs.remove(job)
	if l, ok := s.state.runningJob(job.record.GetJobId()); ok {
		s.jobs.add(l)
		s.recordNewWork()
	}
}

// updateRates updates the rate of each service that has running jobs.
func (s *Scheduler) updateRates(now time.Time, elapsed time.Duration) {
	for _, job := range s.jobs.sorted {
		r := s.jobs.rate(job.record.GetService())
		if r.updatedAt.Equal(now) {
			continue
		}
		r.updatedAt = now
		r.totalWeight = 0
		r.updateRate(elapsed)
	}
}

// assignWeights sets each job's weight to the share of its service's capacity
// that it needs to finish by its due time. If these shares add up to no more than
// the capacity, each job gets at least its share.
func (s *Scheduler) assignWeights(now time.Time) {
	for _, job := range s.jobs.sorted {
		job.caller.totalWeight = 0
	}
	for _, job := range s.jobs.sorted {
		job.weight = s.requiredShare(now, job)
		job.caller.totalWeight += job.weight
	}
	for _, job := range s.jobs.sorted {
		job.caller.weight = min(job.caller.totalWeight, maxWeight)
		s.jobs.rate(job.record.GetService()).totalWeight += job.serviceShare()
	}
}

// serviceShare returns the part of its caller's weight that a job receives.
func (j *scheduledJob) serviceShare() float64 {
	return j.caller.weight * j.weight / j.caller.totalWeight
}

// requiredShare returns the share of its service's capacity that a job needs to
// finish by its due time, between minWeight and maxWeight.
func (s *Scheduler) requiredShare(now time.Time, job *scheduledJob) float64 {
	rate := s.jobs.rate(job.record.GetService())
	if !rate.measured || rate.perSecond == 0 {
		return maxWeight
	}
	timeLeft := max(job.dueTime().Sub(now), time.Second)
	required := float64(job.remainingItems()) / rate.perSecond / timeLeft.Seconds()
	return min(max(required, minWeight), maxWeight)
}

func (s *Scheduler) estimateJob(now time.Time, job *scheduledJob) {
	if job.record.GetState() != pb.JobState_JOB_RUNNING {
		return
	}
	rate := s.jobs.rate(job.record.GetService())
	if !rate.measured || rate.perSecond < math.SmallestNonzeroFloat32 {
		atRisk := now.After(job.dueTime()) || s.hasNoWorkers(job)
		s.state.setEstimate(job.record.GetJobId(), Estimate{AtRisk: atRisk})
		return
	}
	share := job.serviceShare() / rate.totalWeight
	secondsLeft := float64(job.remainingItems()) / (rate.perSecond * share)
	finishUnixMs := uint64(now.UnixMilli()) + uint64(secondsLeft*1000)
	atRisk := time.UnixMilli(int64(finishUnixMs)).After(job.dueTime())
	s.state.setEstimate(job.record.GetJobId(), Estimate{FinishUnixMs: finishUnixMs, AtRisk: atRisk})
}

// hasNoWorkers reports whether no worker serves a job. It reports false on
// followers and in the grace period, when the workers are not known.
func (s *Scheduler) hasNoWorkers(job *scheduledJob) bool {
	return s.leading && !s.inGracePeriod && s.workers.countByService[job.record.GetService()] == 0
}
