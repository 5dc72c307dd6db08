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

// updatePause is the shortest time between two updates of one subscriber. It
// bounds the messages of a control replica, and is far below the time in which
// a change has to be in force.
const updatePause = 20 * time.Millisecond

// watchers are the daemons that subscribe to this replica.
type watchers struct {
	mu      sync.Mutex
	daemons map[*watcher]*pb.Daemon
	// changes counts the changes of the daemons.
	changes uint64
}

type watcher struct {
	wake chan struct{}
	// What the subscriber has been sent.
	routing   uint64
	upstreams uint64
	daemons   uint64
	placement *pb.DeploymentRecord
}

func newWatchers() *watchers {
	return &watchers{daemons: make(map[*watcher]*pb.Daemon)}
}

func (w *watchers) add(self *pb.Daemon, routing uint64) *watcher {
	added := &watcher{wake: make(chan struct{}, 1), routing: routing}
	w.mu.Lock()
	w.daemons[added] = self
	w.changes++
	w.mu.Unlock()
	w.notify()
	return added
}

func (w *watchers) remove(gone *watcher) {
	w.mu.Lock()
	delete(w.daemons, gone)
	w.changes++
	w.mu.Unlock()
	w.notify()
}

// notify has all subscribers look for changes. It never blocks.
func (w *watchers) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for watcher := range w.daemons {
		select {
		case watcher.wake <- struct{}{}:
		default:
		}
	}
}

// list returns the attached daemons in the order of their addresses, and the
// number of their latest change.
func (w *watchers) list() ([]*pb.Daemon, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	daemons := make([]*pb.Daemon, 0, len(w.daemons))
	for _, d := range w.daemons {
		daemons = append(daemons, d)
	}
	return node.UniqueDaemons(daemons), w.changes
}

// serveWatch sends updates to a subscriber until its stream ends.
func (n *Node) serveWatch(stream *transport.Stream, watch *pb.FleetWatch) {
	subscriber := n.watchers.add(watch.GetSelf(), watch.GetRoutingVersion())
	defer n.watchers.remove(subscriber)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// A subscriber sends nothing more; the read ends with the stream.
		_, _ = stream.Receive()
	}()
	idle := time.NewTicker(node.UpdateInterval)
	defer idle.Stop()
	for {
		update := n.update(subscriber)
		if err := stream.Send(&pb.Envelope{Body: &pb.Envelope_FleetUpdate{FleetUpdate: update}}); err != nil {
			return
		}
		time.Sleep(updatePause)
		select {
		case <-n.ctx.Done():
			return
		case <-ended:
			return
		case <-subscriber.wake:
		case <-idle.C:
		}
	}
}

// update returns what a subscriber has not been sent.
func (n *Node) update(w *watcher) *pb.FleetUpdate {
	update := &pb.FleetUpdate{}
	if routing := n.routing(); routing.GetVersion() > w.routing {
		update.RoutingVersion, update.RoutingDocument = routing.GetVersion(), routing.GetDocument()
		w.routing = routing.GetVersion()
	}
	now := time.Now()
	n.upstreamLock.Lock()
	for _, u := range n.upstreams.ChangedSince(w.upstreams) {
		update.Upstreams = append(update.Upstreams, node.EncodeBeat(now, u))
	}
	w.upstreams = n.upstreams.LastChange()
	n.upstreamLock.Unlock()

	daemons, changes := n.watchers.list()
	placement := n.placement()
	if changes != w.daemons || !proto.Equal(placement, w.placement) {
		w.daemons, w.placement = changes, placement
		update.Daemons = append(daemons, n.settings.Self(n.identity))
		update.Control = n.controlAddresses(daemons)
		update.Storage = placement.GetStorage()
		update.Retiring = placement.GetRetiring()
	}
	return update
}

// controlAddresses lists the members of the group and the replicas that may
// join it.
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
