package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func newSimJob(id string, items int) simJob {
	return simJob{id: id, caller: "forbundet", key: "key-" + id, items: items, idempotent: true, due: time.Hour}
}

// submitAccepted submits a job, expects its acceptance and records it in the
// ledger.
func (s *sim) submitAccepted(g Gomega, j simJob) {
	job, err := s.submit(j)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetJobId()).To(Equal(j.id))
	s.ledger.jobs[j.id] = j
}

// allCompleted returns a condition that holds once all named jobs are completed.
func (s *sim) allCompleted(ids ...string) func() bool {
	return func() bool {
		for _, id := range ids {
			if s.job(id).GetState() != pb.JobState_JOB_COMPLETED {
				return false
			}
		}
		return true
	}
}

func TestJobCompletesWithFailedItems(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 3)
	j := newSimJob("job-1", 200)
	j.poison = map[int]bool{7: true, 150: true}
	s.submitAccepted(g, j)
	g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	job := s.job("job-1")
	g.Expect(job.GetDone()).To(Equal(uint32(198)))
	g.Expect(job.GetFailed()).To(Equal(uint32(2)))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestNonIdempotentJobRunsEachItemOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSim(2, 3)
	j := newSimJob("job-1", 100)
	j.idempotent = false
	s.submitAccepted(g, j)
	g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1"))).To(BeTrue())
	g.Expect(s.job("job-1").GetDone()).To(Equal(uint32(100)))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestCancelStopsRunningItems(t *testing.T) {
	g := NewWithT(t)
	s := newSim(3, 3)
	s.submitAccepted(g, newSimJob("job-1", 500))
	s.advance(3 * time.Second)
	g.Expect(s.cancelJob("job-1").GetError()).To(Equal(pb.JobError_JOB_OK))
	resultsAtCancel := len(s.results("job-1"))
	g.Expect(resultsAtCancel).To(BeNumerically(">", 0))
	s.advance(2 * time.Second)
	for _, c := range s.sidecars {
		g.Expect(c.running).To(BeEmpty())
		g.Expect(c.queue).To(BeEmpty())
	}
	s.advance(20 * time.Second)
	g.Expect(s.results("job-1")).To(HaveLen(resultsAtCancel))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
	g.Expect(s.cancelJob("job-1").GetError()).To(Equal(pb.JobError_JOB_OK))
}

func TestResubmissionReturnsEarlierJob(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, 2)
	s.submitAccepted(g, newSimJob("job-1", 120))
	resubmitted := newSimJob("job-1", 120)
	resubmitted.id = "job-2"
	job, err := s.submit(resubmitted)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetJobId()).To(Equal("job-1"))
	changed := resubmitted
	changed.items = 119
	_, err = s.submit(changed)
	g.Expect(err).To(BeAssignableToTypeOf(&SubmitError{}))

	keyless := newSimJob("job-3", 60)
	keyless.key = ""
	s.submitAccepted(g, keyless)
	g.Expect(s.advanceUntil(2*time.Minute, s.allCompleted("job-1", "job-3"))).To(BeTrue())
	keyless.id = "job-4"
	job, err = s.submit(keyless)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetJobId()).To(Equal("job-3"))
	g.Expect(s.job("job-4")).To(BeNil())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}
