package replica

import (
	"sync"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// storage keeps the log and the state of the machine in one store. The state
// lies under a generation number; an installed snapshot switches to the next.
type storage struct {
	store kv.Store
	// lastEntry is the last index written to the log. The writer owns it.
	lastEntry uint64
	// writes numbers the synced writes; mark keeps the last number outside
	// the store, and is nil in memory. The writer owns both.
	writes uint64
	mark   *watermark
	// applied is the position of the state. The apply goroutine owns it.
	applied *pb.SnapshotMeta
	// chunkBytes bounds the chunks of a snapshot.
	chunkBytes int

	// lock guards the generation, and makes a commit atomic to readers.
	lock       sync.RWMutex
	generation uint64
}

// loadStorage reads the durable state and checks it.
func loadStorage(store kv.Store) (*storage, quorum.Stored, error) {
	s := &storage{store: store, applied: &pb.SnapshotMeta{}, chunkBytes: snapshotChunkBytes}
	var err error
	if s.generation, err = getNumber(store, keyGeneration); err != nil {
		return nil, quorum.Stored{}, err
	}
	if s.writes, err = getNumber(store, keyWrites); err != nil {
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
		s.applied = stored.Applied
	}
	s.lastEntry = stored.Base.GetIndex() + uint64(len(stored.Entries))
	if s.lastEntry < s.applied.Index {
		return nil, quorum.Stored{}, eris.Errorf(
			"log is damaged: it ends at entry %d, before the applied entry %d", s.lastEntry, s.applied.Index)
	}
	return s, stored, s.dropStaged()
}

func loadRecords(reader kv.Reader) (quorum.Stored, error) {
	hard := &pb.HardState{}
	base := &pb.SnapshotMeta{}
	applied := &pb.SnapshotMeta{}
	boot := &pb.Bootstrap{}
	stored := quorum.Stored{}
	records := []struct {
		key     string
		message proto.Message
		found   func()
	}{
		{keyHardState, hard, func() { stored.HardState = hard }},
		{keyBase, base, func() { stored.Base = base }},
		{keyApplied, applied, func() { stored.Applied = applied }},
		{keyBootstrap, boot, func() { stored.Bootstrap = boot }},
	}
	for _, r := range records {
		ok, err := getMessage(reader, r.key, r.message)
		if err != nil {
			return quorum.Stored{}, err
		}
		if ok {
			r.found()
		}
	}
	return stored, nil
}

func loadEntries(reader kv.Reader, base uint64) ([]*pb.LogEntry, error) {
	var entries []*pb.LogEntry
	var fault error
	next := base + 1
	reader.Scan([]byte(prefixLog), kv.PrefixEnd([]byte(prefixLog)), func(key, value []byte) bool {
		e := &pb.LogEntry{}
		if fault = decodeMessage(key, value, e); fault != nil {
			return false
		}
		if e.Index != next {
			fault = eris.Errorf("log is damaged: entry %d is missing, entry %d follows", next, e.Index)
			return false
		}
		next++
		entries = append(entries, e)
		return true
	})
	return entries, fault
}

// dropStaged deletes the chunks of a snapshot that was not completed.
func (s *storage) dropStaged() error {
	batch := s.store.NewBatch()
	current := machinePrefix(s.generation)
	batch.DeleteRange([]byte(prefixMachine), current)
	batch.DeleteRange(kv.PrefixEnd(current), kv.PrefixEnd([]byte(prefixMachine)))
	return s.store.Commit(batch, false)
}

// writeItem is a quorum.Save or a quorum.CompactLog.
type writeItem = quorum.Output

// write carries out queued writes with one sync.
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
	s.writes++
	setNumber(batch, keyWrites, s.writes)
	if err := s.store.Commit(batch, true); err != nil {
		return err
	}
	if s.mark == nil {
		return nil
	}
	return s.mark.write(s.writes)
}

// close releases what the storage opened beside the store.
func (s *storage) close() error {
	if s.mark == nil {
		return nil
	}
	return s.mark.close()
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
	if first := entries[0].Index; first <= s.lastEntry {
		batch.DeleteRange(logKey(first), kv.PrefixEnd([]byte(prefixLog)))
	}
	for _, e := range entries {
		setMessage(batch, logKey(e.Index), e)
	}
	s.lastEntry = entries[len(entries)-1].Index
}

func (s *storage) stageChunk(batch kv.Batch, chunk *pb.SnapshotChunk) {
	prefix := machinePrefix(s.currentGeneration() + 1)
	if chunk.Sequence == 0 {
		batch.DeleteRange(prefix, kv.PrefixEnd(prefix))
	}
	staged := newPrefixBatch(batch, prefix)
	for _, pair := range chunk.Pairs {
		staged.Set(pair.Key, pair.Value)
	}
}

// appliedCommand is one command with its result.
type appliedCommand struct {
	index   uint64
	term    uint64
	command *pb.Command
	result  *pb.CommandResult
}

// apply runs committed entries and commits their effects without a sync.
func (s *storage) apply(machine StateMachine, entries []*pb.LogEntry) ([]appliedCommand, error) {
	batch := s.store.NewBatch()
	state := newPrefixBatch(batch, machinePrefix(s.currentGeneration()))
	applied := make([]appliedCommand, 0, len(entries))
	membership := s.applied.Membership
	for _, e := range entries {
		done := appliedCommand{index: e.Index, term: e.Term}
		switch e.Kind {
		case pb.EntryKind_ENTRY_COMMAND:
			done.command = decodeCommand(e)
			done.result = machine.Apply(state, e.Index, done.command)
		case pb.EntryKind_ENTRY_MEMBERSHIP:
			membership = decodeMembership(e)
		}
		applied = append(applied, done)
	}
	last := entries[len(entries)-1]
	s.applied = &pb.SnapshotMeta{Term: last.Term, Index: last.Index, UnixMs: last.UnixMs, Membership: membership}
	setMessage(batch, []byte(keyApplied), s.applied)
	s.lock.Lock()
	defer s.lock.Unlock()
	return applied, s.store.Commit(batch, false)
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

// install puts the staged snapshot in place of the state and the log.
func (s *storage) install(meta *pb.SnapshotMeta) error {
	old := machinePrefix(s.currentGeneration())
	next := s.currentGeneration() + 1
	batch := s.store.NewBatch()
	batch.DeleteRange(old, kv.PrefixEnd(old))
	batch.DeleteRange([]byte(prefixLog), kv.PrefixEnd([]byte(prefixLog)))
	setNumber(batch, keyGeneration, next)
	setMessage(batch, []byte(keyApplied), meta)
	setMessage(batch, []byte(keyBase), &pb.SnapshotMeta{Term: meta.Term, Index: meta.Index, UnixMs: meta.UnixMs})
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.store.Commit(batch, true); err != nil {
		return err
	}
	s.generation = next
	s.applied = meta
	s.lastEntry = meta.Index
	return nil
}

func (s *storage) currentGeneration() uint64 {
	s.lock.RLock()
	defer s.lock.RUnlock()
	return s.generation
}

// view returns a consistent state of the machine. The caller closes it.
func (s *storage) view() (prefixReader, kv.Snapshot) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	snapshot := s.store.Snapshot()
	return prefixReader{snapshot, machinePrefix(s.generation)}, snapshot
}
