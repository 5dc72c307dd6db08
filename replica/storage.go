package replica

import (
	"sync"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// storage keeps the log and the state machine in one store. The keys of the
// state machine are prefixed with a generation number. Installing a snapshot
// switches to the next generation.
type storage struct {
	store kv.Store
	// lastLogIndex is the last index written to the log. It is owned by the
	// writer, and by the apply goroutine while it installs a snapshot.
	lastLogIndex uint64
	// writeNumber is the number of the last synced write. watermark records it
	// outside the store, and is nil for a store in memory. The writer goroutine
	// owns both.
	writeNumber uint64
	watermark   *watermark
	// appliedMeta describes the last applied entry. The apply goroutine owns it.
	appliedMeta *pb.SnapshotMeta
	// chunkBytes bounds the keys and values of one snapshot chunk.
	chunkBytes int

	// lock guards generation, and makes commits of the state machine atomic for
	// view.
	lock       sync.RWMutex
	generation uint64
}

// loadStorage reads and checks the stored state, and deletes incomplete
// snapshots.
func loadStorage(store kv.Store) (*storage, quorum.Stored, error) {
	s := &storage{store: store, appliedMeta: &pb.SnapshotMeta{}, chunkBytes: snapshotChunkBytes}
	var err error
	if s.generation, err = readNumber(store, keyGeneration); err != nil {
		return nil, quorum.Stored{}, err
	}
	if s.writeNumber, err = readNumber(store, keyWrites); err != nil {
		return nil, quorum.Stored{}, err
	}
	stored, err := loadRecords(store)
	if err != nil {
		return nil, quorum.Stored{}, err
	}
	if stored.Entries, err = loadEntries(store, stored.Base.GetIndex()); err != nil {
		return nil, quorum.Stored{}, err
	}
	if stored.Applied != nil {
		s.appliedMeta = stored.Applied
	}
	s.lastLogIndex = stored.Base.GetIndex() + uint64(len(stored.Entries))
	if s.lastLogIndex < s.appliedMeta.Index {
		return nil, quorum.Stored{}, eris.Errorf(
			"log is damaged: it ends at entry %d, before the applied entry %d", s.lastLogIndex, s.appliedMeta.Index)
	}
	return s, stored, s.deleteInactiveGenerations()
}

func loadRecords(reader kv.Reader) (quorum.Stored, error) {
	hardState := &pb.HardState{}
	base := &pb.SnapshotMeta{}
	applied := &pb.SnapshotMeta{}
	bootstrap := &pb.Bootstrap{}
	stored := quorum.Stored{}
	records := []struct {
		key     string
		message proto.Message
		found   func()
	}{
		{keyHardState, hardState, func() { stored.HardState = hardState }},
		{keyBase, base, func() { stored.Base = base }},
		{keyApplied, applied, func() { stored.Applied = applied }},
		{keyBootstrap, bootstrap, func() { stored.Bootstrap = bootstrap }},
	}
	for _, r := range records {
		ok, err := readMessage(reader, r.key, r.message)
		if err != nil {
			return quorum.Stored{}, err
		}
		if ok {
			r.found()
		}
	}
	return stored, nil
}

func loadEntries(reader kv.Reader, baseIndex uint64) ([]*pb.LogEntry, error) {
	var entries []*pb.LogEntry
	var scanErr error
	nextIndex := baseIndex + 1
	reader.Scan([]byte(prefixLog), kv.PrefixEnd([]byte(prefixLog)), func(key, value []byte) bool {
		e := &pb.LogEntry{}
		if scanErr = decodeMessage(key, value, e); scanErr != nil {
			return false
		}
		if e.Index != nextIndex {
			scanErr = eris.Errorf("log is damaged: entry %d is missing, entry %d follows", nextIndex, e.Index)
			return false
		}
		nextIndex++
		entries = append(entries, e)
		return true
	})
	return entries, scanErr
}

// deleteInactiveGenerations deletes the chunks of snapshots that were not
// received completely.
func (s *storage) deleteInactiveGenerations() error {
	batch := s.store.NewBatch()
	current := machinePrefix(s.generation)
	batch.DeleteRange([]byte(prefixMachine), current)
	batch.DeleteRange(kv.PrefixEnd(current), kv.PrefixEnd([]byte(prefixMachine)))
	return s.store.Commit(batch, false)
}

// writeItem is a quorum.Save or a quorum.CompactLog.
type writeItem = quorum.Output

// write commits queued writes as one batch with one sync.
func (s *storage) write(items []writeItem) error {
	batch := s.store.NewBatch()
	for _, item := range items {
		switch item := item.(type) {
		case quorum.Save:
			s.writeSave(batch, item)
		case quorum.CompactLog:
			batch.DeleteRange(logKey(0), logKey(item.NewBase.Index+1))
			setMessage(batch, []byte(keyBase), item.NewBase)
		}
	}
	s.writeNumber++
	setNumber(batch, keyWrites, s.writeNumber)
	if err := s.store.Commit(batch, true); err != nil {
		return err
	}
	if s.watermark == nil {
		return nil
	}
	return s.watermark.write(s.writeNumber)
}

// close closes the watermark file. It does not close the store.
func (s *storage) close() error {
	if s.watermark == nil {
		return nil
	}
	return s.watermark.close()
}

func (s *storage) writeSave(batch kv.Batch, save quorum.Save) {
	if save.HardState != nil {
		setMessage(batch, []byte(keyHardState), save.HardState)
	}
	if save.Bootstrap != nil {
		setMessage(batch, []byte(keyBootstrap), save.Bootstrap)
	}
	if save.Chunk != nil {
		s.stageChunk(batch, save.Chunk)
	}
	if len(save.Entries) > 0 {
		s.writeEntries(batch, save.Entries)
	}
}

func (s *storage) writeEntries(batch kv.Batch, entries []*pb.LogEntry) {
	if first := entries[0].Index; first <= s.lastLogIndex {
		batch.DeleteRange(logKey(first), kv.PrefixEnd([]byte(prefixLog)))
	}
	for _, e := range entries {
		setMessage(batch, logKey(e.Index), e)
	}
	s.lastLogIndex = entries[len(entries)-1].Index
}

func (s *storage) stageChunk(batch kv.Batch, chunk *pb.SnapshotChunk) {
	prefix := machinePrefix(s.currentGeneration() + 1)
	if chunk.Sequence == 0 {
		batch.DeleteRange(prefix, kv.PrefixEnd(prefix))
	}
	stagedBatch := newPrefixBatch(batch, prefix)
	for _, pair := range chunk.Pairs {
		stagedBatch.Set(pair.Key, pair.Value)
	}
}

// appliedEntry is an applied log entry. Its command and result are nil unless
// the entry holds a command.
type appliedEntry struct {
	index   uint64
	term    uint64
	command *pb.Command
	result  *pb.CommandResult
}

// apply applies committed entries and commits their effects without a sync.
func (s *storage) apply(machine StateMachine, entries []*pb.LogEntry) ([]appliedEntry, error) {
	batch := s.store.NewBatch()
	state := newPrefixBatch(batch, machinePrefix(s.currentGeneration()))
	results := make([]appliedEntry, 0, len(entries))
	membership := s.appliedMeta.Membership
	for _, e := range entries {
		entry := appliedEntry{index: e.Index, term: e.Term}
		switch e.Kind {
		case pb.EntryKind_ENTRY_COMMAND:
			entry.command = decodeCommand(e)
			entry.result = machine.Apply(state, e.Index, entry.command)
		case pb.EntryKind_ENTRY_MEMBERSHIP:
			membership = decodeMembership(e)
		}
		results = append(results, entry)
	}
	last := entries[len(entries)-1]
	s.appliedMeta = &pb.SnapshotMeta{Term: last.Term, Index: last.Index, UnixMs: last.UnixMs, Membership: membership}
	setMessage(batch, []byte(keyApplied), s.appliedMeta)
	s.lock.Lock()
	defer s.lock.Unlock()
	return results, s.store.Commit(batch, false)
}

func decodeCommand(e *pb.LogEntry) *pb.Command {
	command := &pb.Command{}
	if err := proto.Unmarshal(e.Data, command); err != nil {
		panic(eris.Wrapf(err, "decode command of entry %d", e.Index))
	}
	command.UnixMs = e.UnixMs
	return command
}

func decodeMembership(e *pb.LogEntry) *pb.Membership {
	membership := &pb.Membership{}
	if err := proto.Unmarshal(e.Data, membership); err != nil {
		panic(eris.Wrapf(err, "decode membership of entry %d", e.Index))
	}
	return membership
}

// installSnapshot replaces the state machine and the log with the staged
// snapshot.
func (s *storage) installSnapshot(meta *pb.SnapshotMeta) error {
	oldPrefix := machinePrefix(s.currentGeneration())
	nextGeneration := s.currentGeneration() + 1
	batch := s.store.NewBatch()
	batch.DeleteRange(oldPrefix, kv.PrefixEnd(oldPrefix))
	batch.DeleteRange([]byte(prefixLog), kv.PrefixEnd([]byte(prefixLog)))
	setNumber(batch, keyGeneration, nextGeneration)
	setMessage(batch, []byte(keyApplied), meta)
	setMessage(batch, []byte(keyBase), &pb.SnapshotMeta{Term: meta.Term, Index: meta.Index, UnixMs: meta.UnixMs})
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.store.Commit(batch, true); err != nil {
		return err
	}
	s.generation = nextGeneration
	s.appliedMeta = meta
	s.lastLogIndex = meta.Index
	return nil
}

func (s *storage) currentGeneration() uint64 {
	s.lock.RLock()
	defer s.lock.RUnlock()
	return s.generation
}

// view returns a reader of a consistent state of the state machine. The caller
// must close the snapshot.
func (s *storage) view() (prefixReader, kv.Snapshot) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	snapshot := s.store.Snapshot()
	return prefixReader{snapshot, machinePrefix(s.generation)}, snapshot
}
