package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

// MaxFrameBytes bounds the size of a received envelope.
const MaxFrameBytes = 16 << 20

const streamBufferBytes = 4 << 10

// ErrNotEncoded means that an envelope cannot be encoded, or exceeds MaxFrameBytes. Nothing of it
// has been sent, and the stream can still be used.
var ErrNotEncoded = eris.New("envelope cannot be encoded")

// ErrOtherIncarnation means that an envelope was for another incarnation of this
// process or another group.
var ErrOtherIncarnation = eris.New("envelope for another incarnation")

// ErrNotAdmitted means that a received envelope was discarded. The stream can still be used.
var ErrNotAdmitted = eris.New("received envelope is not admitted")

// Stream is a bidirectional, ordered and flow-controlled stream of envelopes.
// Send is safe for concurrent use; only one goroutine may call Receive.
type Stream struct {
	identity    *Identity
	conn        net.Conn
	reader      *bufio.Reader
	peerAddress string
	roles       peerRoles

	// session records the reads and writes of the streams of the session.
	session *activity

	mu     sync.Mutex
	writer *bufio.Writer
}

func newStream(identity *Identity, session *activity, conn net.Conn, peerAddress string, roles peerRoles) *Stream {
	return &Stream{
		identity:    identity,
		session:     session,
		conn:        conn,
		reader:      bufio.NewReaderSize(conn, streamBufferBytes),
		writer:      bufio.NewWriterSize(conn, streamBufferBytes),
		peerAddress: peerAddress,
		roles:       roles,
	}
}

// interrupt makes all reads and writes return.
func (s *Stream) interrupt() { _ = s.conn.SetDeadline(time.Unix(1, 0)) }

// PeerAddress returns the address of the peer.
func (s *Stream) PeerAddress() string {
	return s.peerAddress
}

// Send writes one envelope. If it has no header, Send adds one for any
// incarnation of the receiver. It blocks while the receiver's window is full. It returns
// ErrNotEncoded if the envelope cannot be sent to any receiver.
func (s *Stream) Send(e *pb.Envelope) error {
	if e.Header == nil {
		e.Header = s.identity.Header("", 0)
	}
	encoded, err := proto.Marshal(e)
	if err != nil {
		return eris.Wrap(ErrNotEncoded, err.Error())
	}
	if len(encoded) > MaxFrameBytes {
		return eris.Wrapf(ErrNotEncoded, "%d bytes exceed the limit of %d", len(encoded), MaxFrameBytes)
	}
	s.session.begin(s)
	defer s.session.end(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.writer.Write(binary.AppendUvarint(nil, uint64(len(encoded))))
	_, _ = s.writer.Write(encoded)
	// Flush returns the error of an earlier write as well.
	return eris.Wrap(s.writer.Flush(), "send envelope")
}

// SendEncodable writes one envelope without the records that cannot be encoded, and describes
// these: see pb.RemoveUnencodable. It does not change the envelope.
func (s *Stream) SendEncodable(e *pb.Envelope) (omitted []string, err error) {
	if err := s.Send(e); !errors.Is(err, ErrNotEncoded) {
		return nil, err
	}
	encodable := proto.CloneOf(e)
	omitted = pb.RemoveUnencodable(encodable)
	return omitted, s.Send(encodable)
}

// Receive reads the next envelope. It returns ErrOtherIncarnation for an envelope
// that is for another incarnation of this process or another group.
func (s *Stream) Receive() (*pb.Envelope, error) {
	return s.ReceiveAdmitted(func(int) bool { return true })
}

// ReceiveAdmitted is Receive for senders that may send more at a time than there is memory for. It
// asks admit before it reads an envelope of a size. It discards an envelope that is not admitted,
// and returns ErrNotAdmitted.
func (s *Stream) ReceiveAdmitted(admit func(bytes int) bool) (*pb.Envelope, error) {
	s.session.begin(s)
	defer s.session.end(s)
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, eris.Wrap(err, "receive envelope")
	}
	if size > MaxFrameBytes {
		return nil, eris.Errorf("receive envelope: %d bytes exceed the limit of %d", size, MaxFrameBytes)
	}
	if !admit(int(size)) {
		if _, err := s.reader.Discard(int(size)); err != nil {
			return nil, eris.Wrap(err, "discard envelope")
		}
		return nil, ErrNotAdmitted
	}
	e := &pb.Envelope{}
	if err := s.decode(int(size), e); err != nil {
		return nil, eris.Wrap(err, "receive envelope")
	}
	if !s.identity.accepts(e.GetHeader()) {
		return nil, ErrOtherIncarnation
	}
	return e, nil
}

// decode reads and decodes an envelope of a size.
func (s *Stream) decode(size int, e *pb.Envelope) error {
	if size > s.reader.Size() {
		encoded := make([]byte, size)
		if _, err := io.ReadFull(s.reader, encoded); err != nil {
			return err
		}
		return proto.Unmarshal(encoded, e)
	}
	encoded, err := s.reader.Peek(size)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(encoded, e); err != nil {
		return err
	}
	_, err = s.reader.Discard(size)
	return err
}

// Close closes both directions of the stream.
func (s *Stream) Close() error {
	return s.conn.Close()
}

const (
	// keepAliveInterval and connectionWriteTimeout together bound the time for
	// which a dead connection is used. Their sum is below the time within which
	// daemons must have reconnected.
	keepAliveInterval = time.Second
	// connectionWriteTimeout bounds a write and the wait for the response to a
	// keep-alive, after which the connection is closed.
	connectionWriteTimeout = 1500 * time.Millisecond
	streamWindowBytes      = 256 << 10
	streamBacklog          = 1024
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.EnableKeepAlive = true
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = connectionWriteTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.LogOutput = discardWriter{}
	return config
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
