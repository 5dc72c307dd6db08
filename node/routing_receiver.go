package node

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
)

const (
	// maxTransferBytes limits a routing transfer, MaxRoutingPartBytes the data of one part.
	maxTransferBytes    = 16 << 20
	MaxRoutingPartBytes = 128 << 10
	// transferTimeout is the time without a part after which another replica may be asked to
	// go on with a transfer.
	transferTimeout = 600 * time.Millisecond
	// gapGrace is the time for which a change that is missing may still arrive from another
	// replica before a table is requested.
	gapGrace = 200 * time.Millisecond
)

// RoutingCodec decodes routing tables and their changes.
type RoutingCodec interface {
	ParseTable(document []byte) (*routing.Table, error)
	// ApplyChange returns the table after a change, and what differs.
	ApplyChange(table *routing.Table, change *pb.RoutingChange) (*routing.Table, routing.Difference, error)
}

// RoutingReceiver collects the routing tables, changes and parts that control replicas send. It
// decodes them in the background, so that other updates do not wait, and passes on the latest
// version only. It requests tables from one replica at a time. It is safe for concurrent use.
type RoutingReceiver struct {
	codec  RoutingCodec
	logger *log.Logger
	// apply puts a table in force. One call follows the other.
	apply func(AppliedRouting)
	tasks sync.WaitGroup

	mu sync.Mutex
	// queue holds what has not been decoded: changes, which a whole table may precede. latest
	// is the version that it leads to, and decoding is set while a task takes from it.
	queue    []Routing
	latest   uint64
	decoding bool
	// table is that of the last decoded version.
	table *routing.Table
	// rejected is the version of a table that could not be decoded. It is not requested again.
	rejected uint64
	// missing is a version that changes lead to which cannot be applied, since missingSince.
	missing      uint64
	missingSince time.Time
	transfer     incomingTransfer
}

// AppliedRouting is a routing table that comes into force.
type AppliedRouting struct {
	Table *routing.Table
	// Whole is set unless the table was made from the former one by changes, which Difference
	// lists.
	Whole      bool
	Difference routing.Difference
	// Last is the last version received for it, Bytes the number of bytes received.
	Last  Routing
	Bytes int
	// StartedAt is when decoding started.
	StartedAt time.Time
}

// incomingTransfer is a transfer of which parts are missing.
type incomingTransfer struct {
	from   string
	digest uint64
	data   []byte
	// bytes counts what was received, compressed. progressAt is when it last was requested or a
	// part arrived.
	bytes      int
	progressAt time.Time
}

// NewRoutingReceiver returns a receiver without a table.
func NewRoutingReceiver(codec RoutingCodec, logger *log.Logger, apply func(AppliedRouting)) *RoutingReceiver {
	return &RoutingReceiver{codec: codec, logger: logger, apply: apply}
}

// Version returns the latest version received.
func (r *RoutingReceiver) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// Wait waits until all that was received is in force. Nothing may be received meanwhile.
func (r *RoutingReceiver) Wait() { r.tasks.Wait() }

// Receive takes a whole table or a change.
func (r *RoutingReceiver) Receive(received Routing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receive(received)
}

// receive is Receive while mu is held.
func (r *RoutingReceiver) receive(received Routing) {
	switch {
	case received.Version <= r.latest:
		return
	case received.Change == nil:
		r.queue = nil
	case received.Change.GetBaseVersion() != r.latest:
		r.miss(received.Version, received.ReceivedAt)
		return
	}
	r.queue = append(r.queue, received)
	r.latest = received.Version
	if !r.decoding {
		r.decoding = true
		r.tasks.Go(r.decode)
	}
}

// miss records that changes lead to a version that cannot be reached. The caller must hold mu.
func (r *RoutingReceiver) miss(version uint64, now time.Time) {
	if r.missing <= r.latest {
		r.missingSince = now
	}
	r.missing = max(r.missing, version)
}

// ReceiveUpdate takes the changes, the offer and the part of a table in an update from a control
// replica. It returns a request to that replica, or nil.
func (r *RoutingReceiver) ReceiveUpdate(now time.Time, from string, update *pb.FleetUpdate) *pb.RoutingRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	received := Routing{From: from, Current: update.GetCurrent(), Lag: time.Duration(update.GetRoutingLagMs()) * time.Millisecond, ReceivedAt: now}
	r.receiveChanges(received, update.GetRoutingChanges())
	if part := update.GetRoutingPart(); part != nil {
		received.Lag = time.Duration(part.GetLagMs()) * time.Millisecond
		r.receivePart(received, part)
	}
	if now.Sub(r.transfer.progressAt) < transferTimeout {
		return nil
	}
	request := &pb.RoutingRequest{Digest: r.transfer.digest, Offset: uint64(len(r.transfer.data))}
	switch offer := update.GetRoutingOffer(); {
	case offer > r.latest && offer != r.rejected:
		request.BaseVersion = r.latest
	case r.missing > r.latest && r.missing != r.rejected && now.Sub(r.missingSince) >= gapGrace:
	default:
		return nil
	}
	r.transfer.from, r.transfer.progressAt = from, now
	return request
}

// receiveChanges takes consecutive changes. The caller must hold mu.
func (r *RoutingReceiver) receiveChanges(received Routing, changes *pb.RoutingChanges) {
	for _, change := range changes.GetChanges() {
		received.Version, received.Change = change.GetVersion(), change
		if received.Bytes == 0 {
			received.Bytes = proto.Size(changes)
		}
		r.receive(received)
	}
}

// receivePart takes a part of a transfer. The caller must hold mu.
func (r *RoutingReceiver) receivePart(received Routing, part *pb.RoutingPart) {
	t := &r.transfer
	if part.GetDigest() != t.digest || part.GetOffset() == 0 {
		if received.From != t.from || part.GetOffset() != 0 || part.GetSize() > maxTransferBytes {
			return
		}
		*t = incomingTransfer{from: t.from, digest: part.GetDigest()}
	}
	size, err := s2.DecodedLen(part.GetCompressed())
	if err != nil || part.GetOffset() != uint64(len(t.data)) || size > MaxRoutingPartBytes || uint64(len(t.data)+size) > part.GetSize() {
		return
	}
	data, err := s2.Decode(nil, part.GetCompressed())
	if err != nil {
		return
	}
	t.data = append(t.data, data...)
	t.bytes += len(part.GetCompressed())
	t.progressAt = received.ReceivedAt
	if uint64(len(t.data)) < part.GetSize() {
		return
	}
	complete := *t
	*t = incomingTransfer{}
	if xxhash.Sum64(complete.data) != complete.digest {
		r.logger.Error(eventlog.RoutingRejected, "version", part.GetVersion(), "from", received.From, "error", "the parts do not make up the table")
		return
	}
	received.Bytes = complete.bytes
	if !part.GetChanges() {
		received.Version, received.Document = part.GetVersion(), complete.data
		r.receive(received)
		return
	}
	changes := &pb.RoutingChanges{}
	if err := proto.Unmarshal(complete.data, changes); err != nil {
		r.logger.Error(eventlog.RoutingRejected, "version", part.GetVersion(), "from", received.From, "error", err)
		return
	}
	r.receiveChanges(received, changes)
}

// Lost records that the subscription to a replica has ended: another one may go on with its
// transfer.
func (r *RoutingReceiver) Lost(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfer.from == from {
		r.transfer.progressAt = time.Time{}
	}
}

// decode decodes the queue, and puts the last version in it in force, until it is empty.
func (r *RoutingReceiver) decode() {
	for {
		r.mu.Lock()
		queue, table := r.queue, r.table
		r.queue = nil
		if len(queue) == 0 {
			r.decoding = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		applied, failed := r.decodeAll(table, queue)
		if applied.Table != table {
			r.apply(applied)
		}
		r.mu.Lock()
		r.table = applied.Table
		if failed != nil {
			r.recoverFrom(failed)
		}
		r.mu.Unlock()
	}
}

// decodeAll applies a queue to a table. It returns the last table that could be made, and what
// could not be decoded or applied, nil if all could.
func (r *RoutingReceiver) decodeAll(table *routing.Table, queue []Routing) (applied AppliedRouting, failed *Routing) {
	applied = AppliedRouting{Table: table, StartedAt: time.Now()}
	for _, received := range queue {
		next, difference, err := r.decodeOne(applied.Table, received)
		if err != nil {
			r.logger.Error(eventlog.RoutingRejected, "version", received.Version, "from", received.From, "whole", received.Change == nil, "error", err)
			return applied, &received
		}
		applied.Table, applied.Last = next, received
		applied.Whole = applied.Whole || received.Change == nil
		applied.Difference.Add(difference)
		applied.Bytes += received.Bytes
	}
	return applied, nil
}

func (r *RoutingReceiver) decodeOne(table *routing.Table, received Routing) (*routing.Table, routing.Difference, error) {
	if received.Change != nil {
		if table == nil {
			table = &routing.Table{}
		}
		return r.codec.ApplyChange(table, received.Change)
	}
	next, err := r.codec.ParseTable(received.Document)
	return next, routing.Difference{}, err
}

// recoverFrom returns to the table in force after something could not be decoded or applied,
// unless a whole table has arrived since. The caller must hold mu.
func (r *RoutingReceiver) recoverFrom(failed *Routing) {
	if failed.Change == nil {
		r.rejected = failed.Version
	}
	if len(r.queue) > 0 && r.queue[0].Change == nil {
		return
	}
	r.queue, r.latest = nil, 0
	if r.table != nil {
		r.latest = r.table.Version
	}
	if failed.Change != nil {
		r.miss(failed.Version, failed.ReceivedAt)
	}
}
