package transport

import (
	"sync/atomic"

	"github.com/briarcross/briarcross/pb"
)

// Identity identifies this process in the headers that it sends, and checks the
// headers that it receives.
type Identity struct {
	ID          string
	Incarnation uint64
	Group       uint32
	// Address is the address at which this process receives datagrams, or "".
	Address string

	revision atomic.Uint64
	onHeader atomic.Pointer[func(*pb.Header)]
	dropped  atomic.Uint64
	traffic  [classEnd]Traffic
}

// Traffic counts the bytes of the connections of one class, without the overhead
// of TLS.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes handed to connections.
func (t *Traffic) Sent() uint64 {
	return t.sent.Load()
}

// Received returns the number of bytes read from connections.
func (t *Traffic) Received() uint64 {
	return t.received.Load()
}

// Traffic returns the byte counts of a class.
func (i *Identity) Traffic(class Class) *Traffic {
	return &i.traffic[class]
}

// SetRevision sets the configuration revision in outgoing headers.
func (i *Identity) SetRevision(revision uint64) {
	i.revision.Store(revision)
}

// ObserveHeaders sets a function that is called with the header of each accepted
// envelope. It must not block.
func (i *Identity) ObserveHeaders(onHeader func(*pb.Header)) {
	i.onHeader.Store(&onHeader)
}

// DroppedEnvelopes returns the number of received envelopes that were dropped
// because they were for another incarnation of this process or another group.
func (i *Identity) DroppedEnvelopes() uint64 {
	return i.dropped.Load()
}

// Header returns a header for an envelope to a receiver. An incarnation of zero
// means any incarnation of the receiver.
func (i *Identity) Header(receiver string, incarnation uint64) *pb.Header {
	return &pb.Header{
		Sender:              i.ID,
		Incarnation:         i.Incarnation,
		Receiver:            receiver,
		ReceiverIncarnation: incarnation,
		Group:               i.Group,
		ConfigRevision:      i.revision.Load(),
	}
}

// accepts reports whether a received header is for this incarnation and group.
func (i *Identity) accepts(h *pb.Header) bool {
	wrongIncarnation := h.GetReceiverIncarnation() != 0 && h.GetReceiverIncarnation() != i.Incarnation
	if wrongIncarnation || h.GetGroup() != i.Group {
		i.dropped.Add(1)
		return false
	}
	if see := i.onHeader.Load(); see != nil {
		(*see)(h)
	}
	return true
}
