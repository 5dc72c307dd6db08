package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxCommandBytes limits a command. A message that replicates one must stay below
	// transport.MaxFrameBytes.
	MaxCommandBytes = 12 << 20
	// maxQueuedMessages bounds the inputs queued for the core; messages that
	// arrive beyond it are dropped.
	maxQueuedMessages = 4096
)

// Replica is one running member of a group. It is safe for concurrent use.
type Replica struct {
	options Options
	core    *quorum.Core
	store   kv.Store
	storage *storage
	waiters *waiters

	inputs           *queue[quorum.Input]
	writes           *queue[writeItem]
	applies          *queue[quorum.Output]
	snapshotReads    *queue[quorum.Output]
	tasks            errgroup.Group
	stop             chan struct{}
	stopOnce         sync.Once
	storageErrorOnce sync.Once

	statusLock sync.Mutex
	status     quorum.Status
}

// Open starts a replica from its data folder. It returns a one-line error if
// the folder cannot be read, belongs to another replica or is damaged.
func Open(options Options) (*Replica, error) {
	if err := options.validateAndSetDefaults(); err != nil {
		return nil, err
	}
	if options.Folder == "" {
		return openMemory(options)
	}
	store, identity, err := openFolder(&options)
	if err != nil {
		return nil, err
	}
	r, err := start(options, store, identity)
	if err != nil {
		err = eris.Wrapf(err, "open data folder %s", options.Folder)
		return nil, errors.Join(err, store.Close())
	}
	return r, nil
}

func openMemory(options Options) (*Replica, error) {
	identity, err := newIdentity()
	if err != nil {
		return nil, err
	}
	return start(options, kv.NewMemoryStore(), identity)
}

// start starts a replica on an open store.
func start(options Options, store kv.Store, identity uint64) (r *Replica, err error) {
	defer recoverStorageError(func(storageErr error) { err = storageErr })
	starts, err := incrementStarts(store)
	if err != nil {
		return nil, err
	}
	storage, stored, err := loadStorage(store)
	if err != nil {
		return nil, err
	}
	if options.Folder != "" {
		if storage.watermark, err = openWatermark(options.Folder); err != nil {
			return nil, err
		}
	}
	r = &Replica{
		options:       options,
		store:         store,
		storage:       storage,
		waiters:       newWaiters(),
		inputs:        newQueue[quorum.Input](),
		writes:        newQueue[writeItem](),
		applies:       newQueue[quorum.Output](),
		snapshotReads: newQueue[quorum.Output](),
		stop:          make(chan struct{}),
	}
	r.core = quorum.New(quorum.Options{
		ID:             options.ID,
		Identity:       identity,
		Group:          options.Group,
		Bootstrap:      options.Bootstrap,
		Spares:         options.Spares,
		Join:           options.Join,
		TargetVoters:   options.TargetVoters,
		ElectionTicks:  options.ElectionTicks,
		HeartbeatTicks: options.HeartbeatTicks,
		RepairTicks:    options.repairTimeoutTicks(),
		RetainLogBytes: options.RetainLogBytes,
		Seed:           startSeed(options.Seed, identity, starts),
		Stored:         stored,
	})
	r.restoreStateMachine()
	r.publishStatus()
	r.startGoroutines()
	return r, nil
}

// incrementStarts increments and returns the number of starts of a data folder,
// which is part of the random seed.
func incrementStarts(store kv.Store) (uint64, error) {
	starts, err := readNumber(store, keyStarts)
	if err != nil {
		return 0, err
	}
	batch := store.NewBatch()
	setNumber(batch, keyStarts, starts+1)
	return starts + 1, store.Commit(batch, true)
}

func startSeed(seed, identity, starts uint64) uint64 {
	return xxhash.Sum64(encodeNumbers(seed, identity, starts))
}

func (r *Replica) restoreStateMachine() {
	reader, snapshot := r.storage.view()
	defer snapshot.Close()
	r.options.StateMachine.Restore(reader)
}

// Propose replicates a command and returns its result once it is applied on
// this replica. The errors NOT_LEADER and OVERLOADED mean that the command was
// not and will not be applied, UNKNOWN that it may have been or may yet be.
func (r *Replica) Propose(ctx context.Context, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: err.Error()}
	}
	if len(data) > MaxCommandBytes {
		return nil, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: "command too large"}
	}
	id, outcome, accepted := r.waiters.addProposal()
	if !accepted {
		return nil, notLeaderError("replica stopped")
	}
	r.inputs.put(quorum.Propose{Proposals: []quorum.Proposal{{ID: id, Data: data}}})
	select {
	case a := <-outcome:
		return a.result, r.withLeader(a.err)
	case <-ctx.Done():
		return nil, r.withLeader(outcomeUnknownError("no answer in time"))
	}
}

// ReadBarrier makes the following View linearizable: it returns nil once this
// replica has applied every command that any replica acknowledged before the
// call.
func (r *Replica) ReadBarrier(ctx context.Context) *pb.ControlError {
	id, outcome, accepted := r.waiters.addRead()
	if !accepted {
		return notLeaderError("replica stopped")
	}
	r.inputs.put(quorum.ReadIndex{ID: id})
	select {
	case err := <-outcome:
		return r.withLeader(err)
	case <-ctx.Done():
		return r.withLeader(notLeaderError("no confirmation in time"))
	}
}

// Receive queues a message from another replica for the core. It never blocks.
func (r *Replica) Receive(m *pb.QuorumMessage) {
	if r.inputs.len() < maxQueuedMessages {
		r.inputs.put(quorum.MessageReceived{Message: m})
	}
}

// SetSpares sets the replicas that may join the group.
func (r *Replica) SetSpares(spares []*pb.Replica) {
	r.inputs.put(quorum.SetSpares{Spares: spares})
}

// SetRetiring sets the replicas that are removed from the group once spares have
// replaced them.
func (r *Replica) SetRetiring(ids []string) {
	r.inputs.put(quorum.SetRetiring{IDs: ids})
}

// View calls visit with a reader of the applied state. The reader is valid only
// during the call.
func (r *Replica) View(visit func(kv.Reader)) {
	reader, snapshot := r.storage.view()
	defer snapshot.Close()
	visit(reader)
}

// Close transfers leadership if this replica is the leader, then stops it.
func (r *Replica) Close() error {
	r.transferLeadership()
	r.signalStop()
	_ = r.tasks.Wait()
	r.waiters.close()
	return errors.Join(r.storage.close(), r.store.Close())
}

// maxTransferElections bounds a leadership transfer, in election timeouts.
const maxTransferElections = 3

// transferLeadership starts a transfer and waits until this replica has stepped
// down and no proposal is pending.
func (r *Replica) transferLeadership() {
	if !r.canTransferLeadership() {
		return
	}
	r.inputs.put(quorum.TransferLeadership{})
	timeout := time.NewTimer(time.Duration(maxTransferElections*r.electionTicks()) * r.options.TickInterval)
	defer timeout.Stop()
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for r.currentStatus().Leading || r.waiters.pendingProposals() > 0 {
		select {
		case <-ticker.C:
		case <-timeout.C:
			return
		case <-r.stop:
			return
		}
	}
}

func (r *Replica) electionTicks() uint64 {
	if r.options.ElectionTicks > 0 {
		return r.options.ElectionTicks
	}
	return quorum.DefaultElectionTicks
}

func (r *Replica) canTransferLeadership() bool {
	status := r.currentStatus()
	for _, p := range status.Peers {
		if status.Leading && p.Active {
			return true
		}
	}
	return false
}

func (r *Replica) signalStop() {
	r.stopOnce.Do(func() { close(r.stop) })
}
