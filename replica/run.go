package replica

import (
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/rotisserie/eris"
)

// maxApplyEntries bounds the entries in one commit of the state.
const maxApplyEntries = 512

// run starts the goroutines. When the core's goroutine ends it closes the
// queues of the others.
func (r *Replica) run() {
	r.spawn(r.runCore)
	r.spawn(r.runWriter)
	r.spawn(r.runApplier)
	r.spawn(r.runStreams)
}

func (r *Replica) spawn(task func() error) {
	r.tasks.Go(func() error {
		defer recoverFault(r.onFault)
		if err := task(); err != nil {
			r.onFault(err)
		}
		return nil
	})
}

// recoverFault turns a failed read of the storage into an error.
func recoverFault(report func(error)) {
	switch fault := recover().(type) {
	case nil:
	case kv.StorageError:
		report(eris.Wrap(fault, "storage failed"))
	default:
		panic(fault)
	}
}

// onFault stops the replica: it can promise nothing more.
func (r *Replica) onFault(err error) {
	r.fault.Do(func() {
		r.options.Logger.Error("Storage failed; the replica stops.", "error", err)
		r.halt()
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
			r.carryOut()
		case <-r.inbox.ready:
			r.stepInputs(r.inbox.drain())
		}
		r.publishStatus()
	}
}

func (r *Replica) closeQueues() {
	r.writes.close()
	r.applies.close()
	r.streamed.close()
}

// stepInputs feeds the inputs to the core; adjoining proposals go together.
func (r *Replica) stepInputs(inputs []quorum.Input) {
	now := time.Now()
	var batch []quorum.Proposal
	for i, in := range inputs {
		propose, ok := in.(quorum.Propose)
		if !ok {
			r.core.Step(now, in)
			r.carryOut()
			continue
		}
		batch = append(batch, propose.Proposals...)
		if i+1 < len(inputs) {
			if _, more := inputs[i+1].(quorum.Propose); more {
				continue
			}
		}
		r.core.Step(now, quorum.Propose{Proposals: batch})
		r.carryOut()
		batch = nil
	}
}

// carryOut hands the outputs of the core to those who carry them out.
func (r *Replica) carryOut() {
	for _, out := range r.core.Drain() {
		switch out := out.(type) {
		case quorum.Send:
			r.options.Send(out.Message)
		case quorum.Save, quorum.CompactLog:
			r.writes.put(out)
		case quorum.Apply, quorum.InstallSnapshot:
			r.applies.put(out)
		case quorum.ReadSnapshotChunk, quorum.ReleaseSnapshot:
			r.streamed.put(out)
		default:
			r.answer(out)
		}
	}
}

// answer passes an output to those who wait for it.
func (r *Replica) answer(out quorum.Output) {
	switch out := out.(type) {
	case quorum.ProposalAppended:
		r.waiters.onProposed(out.ID, out.Index, out.Term)
	case quorum.ProposalRefused:
		r.waiters.onRefused(out.ID, refusal(out.Reason))
	case quorum.ReadReady:
		r.waiters.onRead(out.ID, nil)
	case quorum.ReadFailed:
		r.waiters.onRead(out.ID, notLeader("no leader confirmed the read"))
	case quorum.LeaderReady:
		r.options.Logger.Info("This replica leads.", "term", out.Term)
		r.options.OnLeadershipChange(out.Term, true)
	case quorum.SteppedDown:
		r.options.Logger.Info("This replica leads no more.", "term", out.Term)
		r.waiters.onDeposed(out.CommitIndex)
		r.options.OnLeadershipChange(out.Term, false)
	case quorum.IdentityMismatch:
		r.options.Logger.Warn("A member knows this replica by another identity; waiting to be added again.",
			"member", out.Peer)
	}
}

func refusal(reason quorum.RefusalReason) *pb.ControlError {
	if reason == quorum.RefusedOverloaded {
		return &pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: "too many commands in flight"}
	}
	return notLeader("this replica does not lead")
}

// runWriter puts all writes that wait into one batch with one sync.
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
			r.inbox.put(quorum.Saved{Ticket: ticket})
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
		return r.install(install.Meta)
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
	r.inbox.put(quorum.Applied{Index: entries[len(entries)-1].Index})
	return nil
}

func (r *Replica) install(meta *pb.SnapshotMeta) error {
	if err := r.storage.install(meta); err != nil {
		return err
	}
	r.restoreMachine()
	r.waiters.onInstalled(meta.Index)
	r.options.Logger.Info("A snapshot was installed.", "index", meta.Index)
	r.inbox.put(quorum.SnapshotInstalled{Meta: meta})
	return nil
}

func (r *Replica) runStreams() error {
	open := newStreams(r.storage)
	defer open.close()
	for {
		items := r.streamed.take()
		if items == nil {
			return nil
		}
		for _, item := range items {
			if err := r.stream(open, item); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) stream(open *streams, item quorum.Output) error {
	switch item := item.(type) {
	case quorum.ReleaseSnapshot:
		open.release(item.Stream)
	case quorum.ReadSnapshotChunk:
		chunk, err := open.read(item)
		if err != nil {
			return err
		}
		r.inbox.put(quorum.SnapshotChunkRead{Peer: item.Peer, Chunk: chunk})
	}
	return nil
}
