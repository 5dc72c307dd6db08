package replica

import (
	"bytes"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
)

// snapshotChunkBytes is the usual bound of the keys and values of one
// chunk.
const snapshotChunkBytes = 256 << 10

// snapshotStream reads one state in chunks.
type snapshotStream struct {
	reader   prefixReader
	snapshot kv.Snapshot
	meta     *pb.SnapshotMeta
	// limit bounds the bytes of one chunk.
	limit    int
	number   uint64
	from     []byte
	sequence uint64
}

func (s *storage) openStream() (*snapshotStream, error) {
	reader, snapshot := s.view()
	meta := &pb.SnapshotMeta{}
	if _, err := getMessage(snapshot, keyApplied, meta); err != nil {
		snapshot.Close()
		return nil, err
	}
	return &snapshotStream{reader: reader, snapshot: snapshot, meta: meta, limit: s.chunkBytes}, nil
}

// next returns the following chunk.
func (s *snapshotStream) next() *pb.SnapshotChunk {
	chunk := &pb.SnapshotChunk{Meta: s.meta, Stream: s.number, Sequence: s.sequence, Last: true}
	size := 0
	s.reader.Scan(s.from, nil, func(key, value []byte) bool {
		if size >= s.limit {
			s.from = bytes.Clone(key)
			chunk.Last = false
			return false
		}
		size += len(key) + len(value)
		chunk.Pairs = append(chunk.Pairs, &pb.SnapshotPair{Key: bytes.Clone(key), Value: bytes.Clone(value)})
		return true
	})
	s.sequence++
	return chunk
}

func (s *snapshotStream) close() {
	s.snapshot.Close()
}

// streams holds the open snapshot streams by number.
type streams struct {
	storage *storage
	open    map[uint64]*snapshotStream
}

func newStreams(s *storage) *streams {
	return &streams{storage: s, open: make(map[uint64]*snapshotStream)}
}

// read returns a chunk; sequence zero begins with a new state.
func (s *streams) read(request quorum.ReadSnapshotChunk) (*pb.SnapshotChunk, error) {
	if request.Sequence == 0 {
		stream, err := s.storage.openStream()
		if err != nil {
			return nil, err
		}
		stream.number = request.Stream
		s.open[request.Stream] = stream
	}
	return s.open[request.Stream].next(), nil
}

func (s *streams) release(number uint64) {
	if stream, ok := s.open[number]; ok {
		stream.close()
		delete(s.open, number)
	}
}

func (s *streams) close() {
	for number := range s.open {
		s.release(number)
	}
}
