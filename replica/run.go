package replica

import (
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/rotisserie/eris"
)

// maxApplyEntries bounds the entries that are applied in one commit.
const maxApplyEntries = 512

// startGoroutines starts the goroutines of the replica. The core's goroutine
// closes the queues of the others when it ends, which ends them too.
func (r *Replica) startGoroutines() {
	r.startTask(r.runCore)
	r.startTask(r.runWriter)
	r.startTask(r.runApplier)
	r.startTask(r.runSnapshotReader)
}

func (r *Replica) startTask(task func() error) {
	r.tasks.Go(func() error {
		defer recoverStorageError(r.onStorageError)
		if err := task(); err != nil {
			r.onStorageError(err)
		}
		return nil
	})
}

// recoverStorageError recovers from a panic with a kv.StorageError and passes
// the error to report.
func recoverStorageError(report func(error)) {
	switch recovered := recover().(type) {
	case nil:
	case kv.StorageError:
		report(eris.Wrap(recovered, "storage failed"))
	default:
		panic(recovered)
	}
}

// onStorageError stops the replica, because it can no longer tell what is on
// stable storage.
func (r *Replica) onStorageError(err error) {
	r.storageErrorOnce.Do(func() {
		r.options.Logger.Error("Storage failed; stopping this replica.", "error", err)
		r.signalStop()
		r.waiters.close()
		r.options.OnStorageError(err)
	})
}

func (r *Replica) runCore() error {
	defer r.closeQueues()
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return nil
		case now := <-ticker.C:
			r.core.Tick(now)
			r.executeOutputs()
		case <-r.inputs.ready:
			r.stepInputs(r.inputs.drain())
		}
		r.publishStatus()
	}
}

func (r *Replica) closeQueues() {
	r.writes.close()
	r.applies.close()
	r.snapshotReads.close()
}

// stepInputs passes the inputs to the core. Consecutive proposals are combined
// into one input.
func (r *Replica) stepInputs(inputs []quorum.Input) {
	now := time.Now()
	var batch []quorum.Proposal
	for i, in := range inputs {
		propose, ok := in.(quorum.Propose)
		if !ok {
			r.core.Step(now, in)
			r.executeOutputs()
			continue
		}
		batch = append(batch, propose.Proposals...)
		if i+1 < len(inputs) {
			if _, more := inputs[i+1].(quorum.Propose); more {
				continue
			}
		}
		r.core.Step(now, quorum.Propose{Proposals: batch})
		r.executeOutputs()
		batch = nil
	}
}

// executeOutputs sends the core's messages, queues its storage operations for
// the other goroutines and handles its events.
func (r *Replica) executeOutputs() {
	for _, out := range r.core.Drain() {
		switch out := out.(type) {
		case quorum.Send:
			r.options.Send(out.Message)
		case quorum.Save, quorum.CompactLog:
			r.writes.put(out)
		case quorum.Apply, quorum.InstallSnapshot:
			r.applies.put(out)
		case quorum.ReadSnapshotChunk, quorum.ReleaseSnapshot:
			r.snapshotReads.put(out)
		default:
			r.handleEvent(out)
		}
	}
}

// handleEvent completes waiting proposals and reads, and reports changes of
// leadership and identity.
func (r *Replica) handleEvent(out quorum.Output) {
	switch out := out.(type) {
	case quorum.ProposalAppended:
		r.waiters.onAppended(out.ID, out.Index, out.Term)
	case quorum.ProposalRefused:
		r.waiters.onRefused(out.ID, refusalError(out.Reason))
	case quorum.ReadReady:
		r.waiters.onReadDone(out.ID, nil)
	case quorum.ReadFailed:
		r.waiters.onReadDone(out.ID, notLeaderError("no leader confirmed the read"))
	case quorum.LeaderReady:
		r.options.Logger.Info("This replica became the leader.", "term", out.Term)
		r.options.OnLeadershipChange(out.Term, true)
	case quorum.SteppedDown:
		r.options.Logger.Info("This replica is no longer the leader.", "term", out.Term)
		r.waiters.onSteppedDown(out.CommitIndex)
		r.options.OnLeadershipChange(out.Term, false)
	case quorum.IdentityMismatch:
		r.options.Logger.Warn("A group member has another identity on record for this replica; waiting to be added to the group again.",
			"member", out.Peer)
	}
}

func refusalError(reason quorum.RefusalReason) *pb.ControlError {
	if reason == quorum.RefusedOverloaded {
		return &pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: "too many commands in flight"}
	}
	return notLeaderError("this replica does not lead")
}

// runWriter commits all queued writes as one batch with one sync.
func (r *Replica) runWriter() error {
	for {
		items := r.writes.take()
		if items == nil {
			return nil
		}
		if err := r.storage.write(items); err != nil {
			return err
		}
		if ticket := lastTicket(items); ticket > 0 {
			r.inputs.put(quorum.Saved{Ticket: ticket})
		}
	}
}

func lastTicket(items []writeItem) uint64 {
	ticket := uint64(0)
	for _, item := range items {
		if save, ok := item.(quorum.Save); ok {
			ticket = save.Ticket
		}
	}
	return ticket
}

func (r *Replica) runApplier() error {
	for {
		items := r.applies.take()
		if items == nil {
			return nil
		}
		for _, item := range items {
			if err := r.applyItem(item); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) applyItem(item quorum.Output) error {
	if install, ok := item.(quorum.InstallSnapshot); ok {
		return r.installSnapshot(install.Meta)
	}
	entries := item.(quorum.Apply).Entries
	for len(entries) > 0 {
		n := min(len(entries), maxApplyEntries)
		if err := r.applyEntries(entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

func (r *Replica) applyEntries(entries []*pb.LogEntry) error {
	applied, err := r.storage.apply(r.options.StateMachine, entries)
	if err != nil {
		return err
	}
	for _, a := range applied {
		if a.command != nil {
			r.options.OnApply(a.index, a.command, a.result)
		}
		r.waiters.onApplied(a)
	}
	r.inputs.put(quorum.Applied{Index: entries[len(entries)-1].Index})
	return nil
}

func (r *Replica) installSnapshot(meta *pb.SnapshotMeta) error {
	if err := r.storage.installSnapshot(meta); err != nil {
		return err
	}
	r.restoreStateMachine()
	r.waiters.onSnapshotInstalled(meta.Index)
	r.options.Logger.Info("Installed a snapshot.", "index", meta.Index)
	r.inputs.put(quorum.SnapshotInstalled{Meta: meta})
	return nil
}

func (r *Replica) runSnapshotReader() error {
	streams := newSnapshotStreams(r.storage)
	defer streams.close()
	for {
		items := r.snapshotReads.take()
		if items == nil {
			return nil
		}
		for _, item := range items {
			if err := r.handleSnapshotRead(streams, item); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) handleSnapshotRead(streams *snapshotStreams, item quorum.Output) error {
	switch item := item.(type) {
	case quorum.ReleaseSnapshot:
		streams.release(item.Stream)
	case quorum.ReadSnapshotChunk:
		chunk, err := streams.readChunk(item)
		if err != nil {
			return err
		}
		r.inputs.put(quorum.SnapshotChunkRead{Peer: item.Peer, Chunk: chunk})
	}
	return nil
}
