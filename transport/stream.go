package transport

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/briarcross/briarcross/pb"
)

// MaxFrameBytes bounds one received envelope.
const MaxFrameBytes = 16 << 20

const streamBufferBytes = 4 << 10

// ErrOtherIncarnation reports an envelope for another incarnation of this
// process.
var ErrOtherIncarnation = eris.New("envelope for another incarnation")

// Stream is an ordered, flow-controlled sequence of envelopes in both
// directions. Send is safe for concurrent use, Receive for one goroutine.
type Stream struct {
	identity *Identity
	conn     net.Conn
	reader   *bufio.Reader
	peer     string
	roles    peerRoles

	mu     sync.Mutex
	writer *bufio.Writer
}

func newStream(identity *Identity, conn net.Conn, peer string, roles peerRoles) *Stream {
	return &Stream{
		identity: identity,
		conn:     conn,
		reader:   bufio.NewReaderSize(conn, streamBufferBytes),
		writer:   bufio.NewWriterSize(conn, streamBufferBytes),
		peer:     peer,
		roles:    roles,
	}
}

// PeerAddress returns the address of the other end.
func (s *Stream) PeerAddress() string {
	return s.peer
}

// Send writes one envelope. A missing header is filled in for any incarnation
// of the receiver. It blocks while the receiver's window is full.
func (s *Stream) Send(e *pb.Envelope) error {
	if e.Header == nil {
		e.Header = s.identity.Header("", 0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := protodelim.MarshalTo(s.writer, e); err != nil {
		return eris.Wrap(err, "send envelope")
	}
	return eris.Wrap(s.writer.Flush(), "send envelope")
}

// Receive reads the next envelope. An envelope for another incarnation of this
// process ends the stream with ErrOtherIncarnation.
func (s *Stream) Receive() (*pb.Envelope, error) {
	e := &pb.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(s.reader, e); err != nil {
		return nil, eris.Wrap(err, "receive envelope")
	}
	if !s.identity.accepts(e.GetHeader()) {
		return nil, ErrOtherIncarnation
	}
	return e, nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	return s.conn.Close()
}

const (
	// keepAliveInterval and writeTimeout together bound the time for which a
	// connection that went silent is used; they are below the time in which
	// daemons have to be in contact again.
	keepAliveInterval = time.Second
	// connectionWriteTimeout bounds a write, and the answer to a keep-alive, after which
	// the other end counts as lost.
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
