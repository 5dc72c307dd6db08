package controlnode

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

const (
	// maxChangeCount and maxChangeBytes bound the changes of the routing table that are kept for
	// subscribers that have missed some.
	maxChangeCount = 256
	maxChangeBytes = 1 << 20
	// maxPushedBytes bounds the changes that are sent without a request. All replicas may send
	// them to the same subscriber.
	maxPushedBytes = 8 << 10
	// routingRefreshInterval bounds the time until a routing table is noticed that came with a
	// snapshot of the log.
	routingRefreshInterval = 100 * time.Millisecond
)

// acceptedRouting is a version of the routing table, and what leads to it from earlier ones. It
// does not change but for the transfers that are made when they are requested first.
type acceptedRouting struct {
	version  uint64
	document []byte
	// changes lead to version, each from the version to which the one before leads.
	changes []*pb.RoutingChange

	mu sync.Mutex
	// transfers holds the transfers by the version from which they lead, zero for the document.
	transfers map[uint64]*routingTransfer
}

// number returns the version, zero without a table.
func (a *acceptedRouting) number() uint64 {
	if a == nil {
		return 0
	}
	return a.version
}

// next returns the table that follows a, which may be nil.
func (a *acceptedRouting) next(version uint64, document []byte, compare func(uint64, []byte, uint64, []byte) *pb.RoutingChange) *acceptedRouting {
	next := &acceptedRouting{version: version, document: document, transfers: make(map[uint64]*routingTransfer)}
	if a == nil {
		return next
	}
	change := compare(a.version, a.document, version, document)
	if change == nil || proto.Size(change) > maxChangeBytes {
		return next
	}
	next.changes = append(slices.Clone(a.changes), change)
	size := 0
	for i, c := range slices.Backward(next.changes) {
		if size += proto.Size(c); size > maxChangeBytes || len(next.changes)-i > maxChangeCount {
			next.changes = next.changes[i+1:]
			break
		}
	}
	return next
}

// since returns the changes that lead from a version to the latest. It returns false if the
// document has to be sent.
func (a *acceptedRouting) since(version uint64) (changes *pb.RoutingChanges, ok bool) {
	i, found := slices.BinarySearchFunc(a.changes, version, func(c *pb.RoutingChange, version uint64) int {
		return cmp.Compare(c.GetBaseVersion(), version)
	})
	if !found {
		return nil, false
	}
	return &pb.RoutingChanges{Changes: a.changes[i:]}, true
}

// transferFrom returns the transfer of the changes from a version, or that of the document if there
// are none or they are not smaller. Subscribers share it.
func (a *acceptedRouting) transferFrom(version uint64) *routingTransfer {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes, ok := a.since(version)
	if !ok || proto.Size(changes) >= len(a.document) {
		version = 0
	}
	if known := a.transfers[version]; known != nil {
		return known
	}
	data := a.document
	if version > 0 {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(changes)
		if err != nil {
			// Documents of older builds may hold texts that cannot be encoded.
			version = 0
		} else {
			data = encoded
		}
	}
	transfer := newRoutingTransfer(a.version, version > 0, data)
	a.transfers[version] = transfer
	return transfer
}

// routingTransfer is a routing document, or changes, cut into parts. It does not change.
type routingTransfer struct {
	version uint64
	digest  uint64
	size    int
	parts   []*pb.RoutingPart
}

func newRoutingTransfer(version uint64, changes bool, data []byte) *routingTransfer {
	t := &routingTransfer{version: version, digest: xxhash.Sum64(data), size: len(data)}
	offset := 0
	for part := range slices.Chunk(data, node.MaxRoutingPartBytes) {
		t.parts = append(t.parts, &pb.RoutingPart{
			Version: version, Changes: changes, Digest: t.digest, Size: uint64(t.size), Offset: uint64(offset), Compressed: s2.EncodeBetter(nil, part),
		})
		offset += len(part)
	}
	return t
}

// part returns a part for a subscriber that has lacked a routing table for some time.
func (t *routingTransfer) part(index int, lagMs uint32) *pb.RoutingPart {
	p := t.parts[index]
	return &pb.RoutingPart{Version: p.Version, Changes: p.Changes, Digest: p.Digest, Size: p.Size, Offset: p.Offset, Compressed: p.Compressed, LagMs: lagMs}
}

// partAt returns the index of the part with which a transfer goes on for a subscriber that has a
// number of bytes of the transfer with a digest.
func (t *routingTransfer) partAt(digest uint64, offset uint64) int {
	if digest != t.digest || offset >= uint64(t.size) || offset%node.MaxRoutingPartBytes != 0 {
		return 0
	}
	return int(offset / node.MaxRoutingPartBytes)
}

// routingSource holds the latest routing table of this replica. It is safe for concurrent use.
type routingSource struct {
	// read returns the version in the store, and the document unless that version is known.
	read    func(known uint64) (version uint64, document []byte)
	compare func(baseVersion uint64, base []byte, version uint64, document []byte) *pb.RoutingChange
	wake    chan struct{}

	refreshing sync.Mutex
	latest     atomic.Pointer[acceptedRouting]
}

func newRoutingSource(read func(known uint64) (uint64, []byte), compare func(uint64, []byte, uint64, []byte) *pb.RoutingChange) *routingSource {
	return &routingSource{read: read, compare: compare, wake: make(chan struct{}, 1)}
}

// current returns the latest table as of the last refresh, nil without one.
func (s *routingSource) current() *acceptedRouting { return s.latest.Load() }

// refresh takes the latest table from the store and returns it, nil without one. It compares the
// table with the one before.
func (s *routingSource) refresh() *acceptedRouting {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	latest := s.latest.Load()
	if version, document := s.read(latest.number()); version > latest.number() {
		latest = latest.next(version, document, s.compare)
		s.latest.Store(latest)
	}
	return latest
}

// wakeUp requests a refresh. It never blocks.
func (s *routingSource) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runRouting refreshes the routing table and notifies the subscribers until the context ends.
func (n *Node) runRouting() {
	ticker := time.NewTicker(routingRefreshInterval)
	defer ticker.Stop()
	notified := uint64(0)
	for {
		// Others refresh as well, and do not notify.
		if latest := n.routing.refresh(); latest.number() != notified {
			notified = latest.number()
			n.subscribers.notify()
		}
		select {
		case <-n.ctx.Done():
			return
		case <-n.routing.wake:
		case <-ticker.C:
		}
	}
}
