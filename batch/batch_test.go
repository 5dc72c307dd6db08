package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func plainJob(id string, items int) simJob {
	return simJob{id: id, caller: "forbundet", key: "key-" + id, items: items, idempotent: true, due: time.Hour}
}

// accept submits a job and notes it in the ledger.
func (s *sim) accept(g Gomega, j simJob) {
	job, err := s.submit(j)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetJobId()).To(Equal(j.id))
	s.ledger.jobs[j.id] = j
}

func (s *sim) completed(ids ...string) func() bool {
	return func() bool {
		for _, id := range ids {
			if s.job(id).GetState() != pb.JobState_JOB_COMPLETED {
				return false
			}
		}
		return true
	}
}

func TestJobRunsToItsEnd(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 3)
	j := plainJob("job-1", 200)
	j.poison = map[int]bool{7: true, 150: true}
	s.accept(g, j)
	g.Expect(s.advanceUntil(2*time.Minute, s.completed("job-1"))).To(BeTrue())
	job := s.job("job-1")
	g.Expect(job.GetDone()).To(Equal(uint32(198)))
	g.Expect(job.GetFailed()).To(Equal(uint32(2)))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestNonIdempotentJobRunsEachItemOnce(t *testing.T) {
	g := NewWithT(t)
	s := newSim(2, 3)
	j := plainJob("job-1", 100)
	j.idempotent = false
	s.accept(g, j)
	g.Expect(s.advanceUntil(2*time.Minute, s.completed("job-1"))).To(BeTrue())
	g.Expect(s.job("job-1").GetDone()).To(Equal(uint32(100)))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}

func TestCancelStopsAJob(t *testing.T) {
	g := NewWithT(t)
	s := newSim(3, 3)
	s.accept(g, plainJob("job-1", 500))
	s.advance(3 * time.Second)
	g.Expect(s.cancelJob("job-1").GetError()).To(Equal(pb.JobError_JOB_OK))
	readable := len(s.results("job-1"))
	g.Expect(readable).To(BeNumerically(">", 0))
	s.advance(2 * time.Second)
	for _, c := range s.sidecars {
		g.Expect(c.running).To(BeEmpty())
		g.Expect(c.queue).To(BeEmpty())
	}
	s.advance(20 * time.Second)
	g.Expect(s.results("job-1")).To(HaveLen(readable))
	g.Expect(s.ledger.check(s)).To(BeEmpty())
	g.Expect(s.cancelJob("job-1").GetError()).To(Equal(pb.JobError_JOB_OK))
}

func TestResendFindsTheSameJob(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, 2)
	s.accept(g, plainJob("job-1", 120))
	resent := plainJob("job-1", 120)
	resent.id = "job-2"
	job, err := s.submit(resent)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetJobId()).To(Equal("job-1"))
	changed := resent
	changed.items = 119
	_, err = s.submit(changed)
	g.Expect(err).To(BeAssignableToTypeOf(&SubmitError{}))

	keyless := plainJob("job-3", 60)
	keyless.key = ""
	s.accept(g, keyless)
	g.Expect(s.advanceUntil(2*time.Minute, s.completed("job-1", "job-3"))).To(BeTrue())
	keyless.id = "job-4"
	job, err = s.submit(keyless)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(job.GetJobId()).To(Equal("job-3"))
	g.Expect(s.job("job-4")).To(BeNil())
	g.Expect(s.ledger.check(s)).To(BeEmpty())
}
