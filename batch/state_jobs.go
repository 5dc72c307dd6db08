package batch

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// beginJob creates a job that is being received. If its idempotency key belongs
// to an accepted job, it returns that job. A job with the same key that has not
// been received within its timeout is removed.
func (s *State) beginJob(b kv.Batch, now uint64, c *pb.JobBegin) (pb.JobError, *pb.Job) {
	if !isValidBegin(c) {
		return pb.JobError_JOB_WRONG_STATE, nil
	}
	if job, ok := readJob(b, c.GetJobId()); ok {
		return repeatedBeginResult(job, c)
	}
	if code, job := s.claimIdempotencyKey(b, now, c); code != pb.JobError_JOB_OK {
		return code, job
	}
	job := newJob(now, c)
	s.live[job.GetJobId()] = &liveJob{job: job}
	writeJob(b, job)
	b.Set(callerJobKey(job.GetCaller(), job.GetJobId()), nil)
	return pb.JobError_JOB_OK, job
}

func isValidBegin(c *pb.JobBegin) bool {
	return c.GetJobId() != "" && len(c.GetJobId()) <= maxNameBytes &&
		len(c.GetCaller()) <= maxNameBytes && len(c.GetKey()) <= maxNameBytes
}

// repeatedBeginResult returns the result of a JobBegin that was applied before.
func repeatedBeginResult(job *pb.Job, c *pb.JobBegin) (pb.JobError, *pb.Job) {
	if job.GetCaller() != c.GetCaller() || job.GetKey() != c.GetKey() {
		return pb.JobError_JOB_WRONG_STATE, nil
	}
	if job.GetState() != pb.JobState_JOB_RECEIVING {
		return pb.JobError_JOB_EXISTS, job
	}
	return pb.JobError_JOB_OK, job
}

// claimIdempotencyKey assigns the idempotency key of a new job to it.
func (s *State) claimIdempotencyKey(b kv.Batch, now uint64, c *pb.JobBegin) (pb.JobError, *pb.Job) {
	if c.GetKey() == "" {
		return pb.JobError_JOB_OK, nil
	}
	key := idempotencyKey(c.GetCaller(), c.GetKey())
	if stored, ok := b.Get(key); ok {
		if earlier, ok := readJob(b, string(stored)); ok {
			if earlier.GetState() != pb.JobState_JOB_RECEIVING {
				return pb.JobError_JOB_EXISTS, earlier
			}
			if !isReceiveExpired(earlier, now) {
				return pb.JobError_JOB_WRONG_STATE, earlier
			}
			s.removeJob(b, earlier)
		}
	}
	b.Set(key, []byte(c.GetJobId()))
	return pb.JobError_JOB_OK, nil
}

func isReceiveExpired(job *pb.Job, now uint64) bool {
	return now >= job.GetUpdatedUnixMs()+uint64(receiveTimeout(job).Milliseconds())
}

// receiveTimeout returns the time without a command after which the received
// part of a job may be removed.
func receiveTimeout(job *pb.Job) time.Duration {
	if job.GetReceiveMs() == 0 {
		return ReceiveTimeout
	}
	return time.Duration(job.GetReceiveMs()) * time.Millisecond
}

func newJob(now uint64, c *pb.JobBegin) *pb.Job {
	job := &pb.Job{
		JobId:         c.GetJobId(),
		Caller:        c.GetCaller(),
		Key:           c.GetKey(),
		Service:       c.GetService(),
		State:         pb.JobState_JOB_RECEIVING,
		CreatedUnixMs: now,
		UpdatedUnixMs: now,
		DueUnixMs:     c.GetDueUnixMs(),
		RetentionMs:   c.GetRetentionMs(),
		Idempotent:    c.GetIdempotent(),
		MaxAttempts:   c.GetMaxAttempts(),
		Endpoint:      c.GetEndpoint(),
		ReceiveMs:     c.GetReceiveMs(),
	}
	if job.GetRetentionMs() == 0 {
		job.RetentionMs = uint64(DefaultRetention.Milliseconds())
	}
	if job.GetMaxAttempts() == 0 {
		job.MaxAttempts = DefaultMaxAttempts
	}
	return job
}

// storeChunk stores the next items of a job that is being received. A chunk
// that was stored before has no effect.
func (s *State) storeChunk(b kv.Batch, now uint64, c *pb.JobChunk) (pb.JobError, *pb.Job) {
	live, ok := s.live[c.GetJobId()]
	if !ok {
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	job := live.job
	if job.GetState() != pb.JobState_JOB_RECEIVING {
		return pb.JobError_JOB_WRONG_STATE, job
	}
	if c.GetSequence() < job.GetChunks() {
		return pb.JobError_JOB_OK, job
	}
	if c.GetSequence() > job.GetChunks() || !isConsecutive(c.GetItems(), job.GetReceived()) {
		return pb.JobError_JOB_WRONG_SEQUENCE, job
	}
	for _, item := range c.GetItems() {
		b.Set(jobRecordKey(kindItem, job.GetJobId(), item.GetIndex()), encode(item))
	}
	job.Chunks++
	job.Received += uint32(len(c.GetItems()))
	job.UpdatedUnixMs = now
	writeJob(b, job)
	return pb.JobError_JOB_OK, job
}

func isConsecutive(items []*pb.Item, from uint32) bool {
	for i, item := range items {
		if item.GetIndex() != from+uint32(i) {
			return false
		}
	}
	return true
}

// acceptJob starts a job that has been received completely.
func (s *State) acceptJob(b kv.Batch, now uint64, c *pb.JobAccept) (pb.JobError, *pb.Job) {
	job, ok := readJob(b, c.GetJobId())
	if !ok {
		// An earlier copy of this command may have removed the job in favour of
		// one with the same content.
		if earlier, ok := findJobByDigest(b, now, c.GetCaller(), c.GetDigest()); ok {
			return pb.JobError_JOB_EXISTS, earlier
		}
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	if c.GetCaller() != "" && c.GetCaller() != job.GetCaller() {
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	if job.GetState() != pb.JobState_JOB_RECEIVING {
		return repeatedAcceptResult(job, c)
	}
	live := s.live[c.GetJobId()]
	job = live.job
	if c.GetItems() != job.GetReceived() || c.GetItems() == 0 {
		return pb.JobError_JOB_WRONG_SEQUENCE, job
	}
	if job.GetKey() == "" {
		if earlier, ok := findJobByDigest(b, now, job.GetCaller(), c.GetDigest()); ok {
			s.removeJob(b, job)
			return pb.JobError_JOB_EXISTS, earlier
		}
		writeDigest(b, now, job, c.GetDigest())
	}
	job.State = pb.JobState_JOB_RUNNING
	job.Items = c.GetItems()
	job.Digest = c.GetDigest()
	if c.GetDueUnixMs() > 0 {
		job.DueUnixMs = c.GetDueUnixMs()
	}
	job.UpdatedUnixMs = now
	live.allocateBitmaps()
	writeJob(b, job)
	return pb.JobError_JOB_OK, job
}

func repeatedAcceptResult(job *pb.Job, c *pb.JobAccept) (pb.JobError, *pb.Job) {
	if !bytes.Equal(job.GetDigest(), c.GetDigest()) {
		return pb.JobError_JOB_WRONG_DIGEST, job
	}
	return pb.JobError_JOB_OK, job
}

// digestTimeBytes is the size of the acceptance time in a stored digest record,
// in Unix milliseconds. The job ID follows it.
const digestTimeBytes = 8

func writeDigest(b kv.Batch, now uint64, job *pb.Job, digest []byte) {
	value := binary.BigEndian.AppendUint64(nil, now)
	b.Set(digestKey(job.GetCaller(), digest), append(value, job.GetJobId()...))
}

func findJobByDigest(b kv.Batch, now uint64, caller string, digest []byte) (*pb.Job, bool) {
	value, ok := b.Get(digestKey(caller, digest))
	if !ok || len(value) < digestTimeBytes {
		return nil, false
	}
	if now >= binary.BigEndian.Uint64(value)+uint64(DigestWindow.Milliseconds()) {
		return nil, false
	}
	return readJob(b, string(value[digestTimeBytes:]))
}

// abortJob removes a job that has not been accepted.
func (s *State) abortJob(b kv.Batch, c *pb.JobAbort) (pb.JobError, *pb.Job) {
	job, ok := readJob(b, c.GetJobId())
	if !ok {
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	if job.GetState() != pb.JobState_JOB_RECEIVING {
		return pb.JobError_JOB_WRONG_STATE, job
	}
	s.removeJob(b, job)
	return pb.JobError_JOB_OK, job
}

// cancelJob cancels a job that runs and removes one that is being received. A
// job that has already completed stays completed.
func (s *State) cancelJob(b kv.Batch, now uint64, c *pb.JobCancel) (pb.JobError, *pb.Job) {
	job, ok := readJob(b, c.GetJobId())
	if !ok || !isVisible(job, c.GetCaller()) {
		return pb.JobError_JOB_NOT_FOUND, nil
	}
	switch job.GetState() {
	case pb.JobState_JOB_CANCELLED:
		return pb.JobError_JOB_OK, job
	case pb.JobState_JOB_RUNNING:
		job = s.live[c.GetJobId()].job
		s.finishJob(b, now, job, pb.JobState_JOB_CANCELLED)
		return pb.JobError_JOB_OK, job
	case pb.JobState_JOB_RECEIVING:
		s.removeJob(b, job)
		job.State = pb.JobState_JOB_CANCELLED
		return pb.JobError_JOB_OK, job
	}
	return pb.JobError_JOB_WRONG_STATE, job
}

// isVisible reports whether a caller may see a job. The empty caller stands for
// an operator, who may see all jobs.
func isVisible(job *pb.Job, caller string) bool {
	return caller == "" || caller == job.GetCaller()
}

// finishJob ends a running job, keeps its results and deletes the data that only
// a running job needs.
func (s *State) finishJob(b kv.Batch, now uint64, job *pb.Job, state pb.JobState) {
	job.State = state
	job.FinishedUnixMs = now
	writeJob(b, job)
	b.Set(retentionKey(now+job.GetRetentionMs(), job.GetJobId()), nil)
	s.deleteRunningData(b, job.GetJobId())
}

// deleteRunningData deletes a job's items, claims, attempts, bitmaps and estimate.
func (s *State) deleteRunningData(b kv.Batch, jobID string) {
	delete(s.live, jobID)
	s.removeEstimate(jobID)
	deleteJobRecords(b, kindItem, jobID)
	deleteJobRecords(b, kindClaim, jobID)
	deleteJobRecords(b, kindSettledPage, jobID)
	deleteJobRecords(b, kindAttempts, jobID)
}

// removeJob deletes all data of a job except its retention key.
func (s *State) removeJob(b kv.Batch, job *pb.Job) {
	jobID := job.GetJobId()
	s.deleteRunningData(b, jobID)
	deleteJobRecords(b, kindResult, jobID)
	b.Delete(jobKey(jobID))
	b.Delete(callerJobKey(job.GetCaller(), jobID))
	if job.GetKey() != "" {
		key := idempotencyKey(job.GetCaller(), job.GetKey())
		if stored, ok := b.Get(key); ok && string(stored) == jobID {
			b.Delete(key)
		}
	}
	if len(job.GetDigest()) > 0 {
		key := digestKey(job.GetCaller(), job.GetDigest())
		if stored, ok := b.Get(key); ok && len(stored) >= digestTimeBytes && string(stored[digestTimeBytes:]) == jobID {
			b.Delete(key)
		}
	}
}

// expireJobs removes the named jobs that have finished and whose retention has
// ended.
func (s *State) expireJobs(b kv.Batch, now uint64, c *pb.RetentionExpire) (pb.JobError, *pb.Job) {
	for _, jobID := range c.GetJobIds() {
		job, ok := readJob(b, jobID)
		if !ok || !isFinished(job.GetState()) {
			continue
		}
		expiresAtMs := job.GetFinishedUnixMs() + job.GetRetentionMs()
		if expiresAtMs > now {
			continue
		}
		s.removeJob(b, job)
		b.Delete(retentionKey(expiresAtMs, jobID))
	}
	return pb.JobError_JOB_OK, nil
}
