package replica

import (
	"bytes"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
)

// snapshotChunkBytes is the default bound of the keys and values of one
// snapshot chunk.
const snapshotChunkBytes = 256 << 10

// snapshotStream reads one snapshot of the state machine in chunks.
type snapshotStream struct {
	reader   prefixReader
	snapshot kv.Snapshot
	meta     *pb.SnapshotMeta
	// maxChunkBytes is the size of keys and values at which a chunk ends.
	maxChunkBytes int
	id            uint64
	nextKey       []byte
	nextSequence  uint64
}

func (s *storage) openSnapshotStream() (*snapshotStream, error) {
	reader, snapshot := s.view()
	meta := &pb.SnapshotMeta{}
	if _, err := readMessage(snapshot, keyApplied, meta); err != nil {
		snapshot.Close()
		return nil, err
	}
	return &snapshotStream{reader: reader, snapshot: snapshot, meta: meta, maxChunkBytes: s.chunkBytes}, nil
}

// readChunk returns the next chunk.
func (s *snapshotStream) readChunk() *pb.SnapshotChunk {
	chunk := &pb.SnapshotChunk{Meta: s.meta, Stream: s.id, Sequence: s.nextSequence, Last: true}
	size := 0
	s.reader.Scan(s.nextKey, nil, func(key, value []byte) bool {
		if size >= s.maxChunkBytes {
			s.nextKey = bytes.Clone(key)
			chunk.Last = false
			return false
		}
		size += len(key) + len(value)
		chunk.Pairs = append(chunk.Pairs, &pb.SnapshotPair{Key: bytes.Clone(key), Value: bytes.Clone(value)})
		return true
	})
	s.nextSequence++
	return chunk
}

func (s *snapshotStream) close() {
	s.snapshot.Close()
}

// snapshotStreams holds the open snapshot streams by ID.
type snapshotStreams struct {
	storage *storage
	open    map[uint64]*snapshotStream
}

func newSnapshotStreams(s *storage) *snapshotStreams {
	return &snapshotStreams{storage: s, open: make(map[uint64]*snapshotStream)}
}

// readChunk returns the next chunk of a stream. A request with sequence zero
// opens the stream on the current state.
func (s *snapshotStreams) readChunk(request quorum.ReadSnapshotChunk) (*pb.SnapshotChunk, error) {
	if request.Sequence == 0 {
		stream, err := s.storage.openSnapshotStream()
		if err != nil {
			return nil, err
		}
		stream.id = request.Stream
		s.open[request.Stream] = stream
	}
	return s.open[request.Stream].readChunk(), nil
}

func (s *snapshotStreams) release(id uint64) {
	if stream, ok := s.open[id]; ok {
		stream.close()
		delete(s.open, id)
	}
}

func (s *snapshotStreams) close() {
	for id := range s.open {
		s.release(id)
	}
}
