// Package peering sends the messages of a replicated log between replicas.
package peering

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	queueCapacity  = 4096
	reconnectDelay = 50 * time.Millisecond
	// dialTimeout far exceeds the time to connect between regions. A VM without
	// power doesn't respond at all; a short timeout lets a later attempt reach
	// it soon after it has restarted.
	dialTimeout = 400 * time.Millisecond
)

// Sender sends messages of the replicated log to the other replicas, over one
// stream for each replica. It drops messages when a queue is full or a
// connection is lost; the log sends them again.
type Sender struct {
	ctx       context.Context
	client    *transport.Client
	address   func(id string) (string, bool)
	onDropped func()

	mu        sync.Mutex
	queues    map[string]chan *pb.QuorumMessage
	sendLoops sync.WaitGroup
}

// NewSender returns a Sender. The address function returns the address of a
// replica by ID, or false if it is unknown; onDropped is called for each dropped
// message.
func NewSender(ctx context.Context, client *transport.Client, address func(string) (string, bool), onDropped func()) *Sender {
	return &Sender{
		ctx:       ctx,
		client:    client,
		address:   address,
		onDropped: onDropped,
		queues:    make(map[string]chan *pb.QuorumMessage),
	}
}

// Send queues a message for its receiver, or drops it if the queue is full. It
// never blocks.
func (s *Sender) Send(m *pb.QuorumMessage) {
	select {
	case s.queue(m.GetTo()) <- m:
	default:
		s.onDropped()
	}
}

// Wait blocks until the context has ended and all send loops have stopped.
func (s *Sender) Wait() { s.sendLoops.Wait() }

func (s *Sender) queue(id string) chan *pb.QuorumMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[id]
	if !ok {
		queue = make(chan *pb.QuorumMessage, queueCapacity)
		s.queues[id] = queue
		s.sendLoops.Go(func() { s.sendLoop(id, queue) })
	}
	return queue
}

func (s *Sender) sendLoop(id string, queue chan *pb.QuorumMessage) {
	for s.ctx.Err() == nil {
		stream := s.openStream(id)
		if stream != nil {
			s.sendQueued(stream, queue)
			_ = stream.Close()
		}
		s.discardDuring(queue, reconnectDelay)
	}
}

func (s *Sender) openStream(id string) *transport.Stream {
	address, ok := s.address(id)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	stream, err := s.client.Open(ctx, transport.Control, address)
	if err != nil {
		return nil
	}
	return stream
}

func (s *Sender) sendQueued(stream *transport.Stream, queue chan *pb.QuorumMessage) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-queue:
			envelope := &pb.Envelope{Body: &pb.Envelope_Quorum{Quorum: m}}
			switch err := stream.Send(envelope); {
			case errors.Is(err, transport.ErrNotEncoded):
				// The messages after it can be sent.
				s.onDropped()
			case err != nil:
				s.onDropped()
				return
			}
		}
	}
}

// discardDuring drops messages while there is no connection, so that a replica
// doesn't receive outdated messages after a reconnect.
func (s *Sender) discardDuring(queue chan *pb.QuorumMessage, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
			return
		case <-queue:
			s.onDropped()
		}
	}
}
