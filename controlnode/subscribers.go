package controlnode

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// minUpdateInterval is the shortest time between two updates to one subscriber. It
// limits the message rate of a control replica, and is far below the time within
// which a change must take effect.
const minUpdateInterval = 20 * time.Millisecond

// subscribers holds the daemons that subscribe to the updates of this replica.
type subscribers struct {
	mu      sync.Mutex
	daemons map[*subscriber]*pb.Daemon
	// changeCount counts the changes of daemons.
	changeCount uint64
}

// subscriber is one subscription and what has been sent to it.
type subscriber struct {
	// wake requests an update before the next regular one.
	wake           chan struct{}
	routingVersion uint64
	// upstreamsChange is a change number of the table of upstreams, daemonsChange
	// one of subscribers.
	upstreamsChange uint64
	daemonsChange   uint64
	placement       *pb.DeploymentRecord
}

func newSubscribers() *subscribers {
	return &subscribers{daemons: make(map[*subscriber]*pb.Daemon)}
}

func (s *subscribers) add(self *pb.Daemon, routing uint64) *subscriber {
	added := &subscriber{wake: make(chan struct{}, 1), routingVersion: routing}
	s.mu.Lock()
	s.daemons[added] = self
	s.changeCount++
	s.mu.Unlock()
	s.notify()
	return added
}

func (s *subscribers) remove(removed *subscriber) {
	s.mu.Lock()
	delete(s.daemons, removed)
	s.changeCount++
	s.mu.Unlock()
	s.notify()
}

// notify triggers an update to each subscriber. It never blocks.
func (s *subscribers) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for subscriber := range s.daemons {
		select {
		case subscriber.wake <- struct{}{}:
		default:
		}
	}
}

// list returns the subscribed daemons, ordered by address, and the number of their
// latest change.
func (s *subscribers) list() ([]*pb.Daemon, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	daemons := make([]*pb.Daemon, 0, len(s.daemons))
	for _, d := range s.daemons {
		daemons = append(daemons, d)
	}
	return node.UniqueDaemons(daemons), s.changeCount
}

// serveWatch sends updates to a subscriber until its stream ends.
func (n *Node) serveWatch(stream *transport.Stream, watch *pb.FleetWatch) {
	subscriber := n.subscribers.add(watch.GetSelf(), watch.GetRoutingVersion())
	defer n.subscribers.remove(subscriber)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// A subscriber sends nothing more, so Receive returns when the stream
		// ends.
		_, _ = stream.Receive()
	}()
	ticker := time.NewTicker(node.UpdateInterval)
	defer ticker.Stop()
	for {
		update := n.nextUpdate(subscriber)
		if err := stream.Send(&pb.Envelope{Body: &pb.Envelope_FleetUpdate{FleetUpdate: update}}); err != nil {
			return
		}
		time.Sleep(minUpdateInterval)
		select {
		case <-n.ctx.Done():
			return
		case <-ended:
			return
		case <-subscriber.wake:
		case <-ticker.C:
		}
	}
}

// nextUpdate returns the changes that have not been sent to a subscriber, and
// records them as sent.
func (n *Node) nextUpdate(subscriber *subscriber) *pb.FleetUpdate {
	update := &pb.FleetUpdate{}
	if routing := n.routing(); routing.GetVersion() > subscriber.routingVersion {
		update.RoutingVersion, update.RoutingDocument = routing.GetVersion(), routing.GetDocument()
		subscriber.routingVersion = routing.GetVersion()
	}
	now := time.Now()
	n.upstreamLock.Lock()
	for _, u := range n.upstreams.ChangedSince(subscriber.upstreamsChange) {
		update.Upstreams = append(update.Upstreams, node.EncodeHeartbeat(now, u))
	}
	subscriber.upstreamsChange = n.upstreams.LastChange()
	n.upstreamLock.Unlock()

	daemons, daemonsChange := n.subscribers.list()
	placement := n.placement()
	if daemonsChange != subscriber.daemonsChange || !proto.Equal(placement, subscriber.placement) {
		subscriber.daemonsChange, subscriber.placement = daemonsChange, placement
		update.Daemons = append(daemons, n.settings.Self(n.identity))
		update.Control = n.controlAddresses(daemons)
		update.Storage = placement.GetStorage()
		update.Retiring = placement.GetRetiring()
	}
	return update
}

// controlAddresses lists the addresses of the group's members and of the control
// daemons that may join it.
func (n *Node) controlAddresses(daemons []*pb.Daemon) []string {
	addresses := []string{n.settings.Address}
	for _, r := range n.members() {
		addresses = append(addresses, r.GetAddress())
	}
	for _, d := range daemons {
		if d.GetRole() == node.RoleControl {
			addresses = append(addresses, d.GetAddress())
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
