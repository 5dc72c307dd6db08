package controlnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	// minUpdateInterval is the shortest time between two updates to one subscriber. It
	// limits the message rate of a control replica, and is far below the time within
	// which a change must take effect.
	minUpdateInterval = 20 * time.Millisecond
	// remoteRoutingDelay is the time for which a routing table is held back from the
	// subscribers in other data centres. They mostly have it from the replica in their
	// own by then, and say so.
	remoteRoutingDelay = 150 * time.Millisecond
	// directoryInterval is the shortest time between two changes of the directory.
	// Many daemons that start together then cause few updates.
	directoryInterval = 100 * time.Millisecond
	// confirmRetryInterval is the delay before a confirmation of the routing table that
	// failed is requested again.
	confirmRetryInterval = 50 * time.Millisecond
)

// subscribers holds the daemons that subscribe to the updates of this replica.
type subscribers struct {
	mu      sync.Mutex
	daemons map[*subscriber]*pb.Daemon
	// changeCount counts the changes of daemons.
	changeCount uint64
}

// subscriber is one subscription and what has been sent to it. Only the goroutine
// that serves it uses it, except for the fields that mu guards.
type subscriber struct {
	self        *pb.Daemon
	incremental bool
	// wake requests an update before the next regular one.
	wake chan struct{}

	mu             sync.Mutex
	routingVersion uint64
	// routingConfirmed is set once this replica has every routing table that was accepted
	// before the subscription.
	routingConfirmed bool
	// routingRequest is a request that has not been taken up.
	routingRequest *pb.RoutingRequest

	// routingChanges is set if the subscriber understands changes and parts of tables.
	routingChanges bool
	// transfer is the table that is being sent in parts, nil without one; nextPart is the
	// index of its next part.
	transfer *routingTransfer
	nextPart int

	// upstreamsChange is a change number of the table of upstreams, daemonsChange
	// one of a directory.
	upstreamsChange uint64
	daemonsChange   uint64
	placement       *pb.DeploymentRecord
	control         []string
	silent          []string
	silentSent      bool
	// evidenceChange is a change number of the quarantine.
	evidenceChange uint64
}

func newSubscribers() *subscribers {
	return &subscribers{daemons: make(map[*subscriber]*pb.Daemon)}
}

func (s *subscribers) add(watch *pb.FleetWatch) *subscriber {
	added := &subscriber{
		self: watch.GetSelf(), incremental: watch.GetIncremental(), routingChanges: watch.GetRoutingChanges(), wake: make(chan struct{}, 1),
		routingVersion: watch.GetRoutingVersion(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.daemons[added] = watch.GetSelf()
	s.changeCount++
	return added
}

func (s *subscribers) remove(removed *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.daemons, removed)
	s.changeCount++
}

// notify triggers an update to each subscriber. It never blocks.
func (s *subscribers) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for subscriber := range s.daemons {
		subscriber.requestUpdate()
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

// maxRoutingLag returns the longest time for which a subscriber with a routing table has
// lacked a later one.
func (n *Node) maxRoutingLag(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, version := range n.subscribers.routingVersions() {
		if version > 0 {
			longest = max(longest, n.routingHistory.lag(version, now))
		}
	}
	return longest
}

// routingVersions lists the versions of the routing table that the subscribers have.
func (s *subscribers) routingVersions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]uint64, 0, len(s.daemons))
	for subscriber := range s.daemons {
		versions = append(versions, subscriber.knownRoutingVersion())
	}
	return versions
}

func (s *subscriber) setRoutingVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routingVersion = max(s.routingVersion, version)
}

func (s *subscriber) knownRoutingVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routingVersion
}

// mayHaveRouting reports whether the subscriber may be sent the routing table of this
// replica. A daemon without one cannot tell an outdated table by its version, so its first
// one has to be confirmed.
func (s *subscriber) mayHaveRouting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routingVersion > 0 || s.routingConfirmed
}

func (s *subscriber) setRoutingConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routingConfirmed = true
}

// requestUpdate triggers an update to the subscriber. It never blocks.
func (s *subscriber) requestUpdate() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// confirmRouting waits until this replica has every routing table that was accepted before
// the call, and then sends the latest to the subscriber. It returns when the context ends.
func (n *Node) confirmRouting(ctx context.Context, s *subscriber) {
	for ctx.Err() == nil {
		if n.replica.ReadBarrier(ctx) == nil {
			n.routing.refresh()
			s.setRoutingConfirmed()
			s.requestUpdate()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmRetryInterval):
		}
	}
}

// serveWatch sends updates to a subscriber until its stream ends.
func (n *Node) serveWatch(stream *transport.Stream, watch *pb.FleetWatch) {
	n.quarantine.Merge(watch.GetEvidence())
	subscriber := n.subscribers.add(watch)
	defer n.subscribers.remove(subscriber)
	subscribed, unsubscribe := context.WithCancel(n.ctx)
	defer unsubscribe()
	if !subscriber.mayHaveRouting() {
		go n.confirmRouting(subscribed, subscriber)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			envelope, err := stream.Receive()
			if err != nil || envelope.GetFleetWatch() == nil {
				return
			}
			subscriber.setRoutingVersion(envelope.GetFleetWatch().GetRoutingVersion())
			subscriber.requestRouting(envelope.GetFleetWatch().GetRoutingRequest())
			n.quarantine.Merge(envelope.GetFleetWatch().GetEvidence())
		}
	}()
	ticker := time.NewTicker(node.UpdateInterval)
	defer ticker.Stop()
	for {
		update := n.nextUpdate(time.Now(), subscriber)
		omitted, err := stream.SendEncodable(&pb.Envelope{Body: &pb.Envelope_FleetUpdate{FleetUpdate: update}})
		n.reportNotSent(subscriber, omitted, err)
		if err != nil {
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

// reportNotSent counts and logs the records that an update to a subscriber left out because they
// cannot be encoded, and an update that could not be encoded at all. Other errors mean that the
// connection broke, which the subscriber logs.
func (n *Node) reportNotSent(s *subscriber, omitted []string, err error) {
	if len(omitted) > 0 {
		n.metrics.recordsNotSent.Add(float64(len(omitted)))
		n.logger.Error(eventlog.RecordNotSent, "to", s.self.GetAddress(), "records", len(omitted), "first", omitted[0])
	}
	if errors.Is(err, transport.ErrNotEncoded) {
		n.metrics.updatesNotSent.Inc()
		n.logger.Error(eventlog.UpdateNotSent, "to", s.self.GetAddress(), "error", err)
	}
}

// nextUpdate returns the changes that have not been sent to a subscriber, and
// records them as sent.
func (n *Node) nextUpdate(now time.Time, s *subscriber) *pb.FleetUpdate {
	update := &pb.FleetUpdate{Current: n.inContactWithMajority()}
	n.addRouting(now, s, update)
	n.addUpstreams(now, s, update)
	n.addDaemons(s, update)
	update.Evidence, s.evidenceChange = n.quarantine.Since(s.evidenceChange)
	return update
}

// routingDelay returns the time for which the routing table is held back from a subscriber.
// It counts from the first version that the subscriber lacks, so that a series of changes
// cannot prolong it. A daemon without a table cannot serve, and gets it at once.
func (n *Node) routingDelay(now time.Time, s *subscriber) time.Duration {
	known := s.knownRoutingVersion()
	if !s.incremental || known == 0 || s.self.GetDataCentre() == n.settings.DataCentre {
		return 0
	}
	since, missing := n.routingHistory.missingSince(known)
	if !missing {
		return 0
	}
	return max(0, remoteRoutingDelay-now.Sub(since))
}

// addUpstreams adds the changed upstreams. A control replica gets each heartbeat
// that this one received itself, at first all upstreams; other daemons get changes
// and the list of silent upstreams.
func (n *Node) addUpstreams(now time.Time, s *subscriber, update *pb.FleetUpdate) {
	n.upstreamLock.Lock()
	defer n.upstreamLock.Unlock()
	toReplica := s.self.GetRole() == node.RoleControl
	var changed []fleet.Upstream
	if toReplica || !s.incremental {
		changed = n.upstreams.RenewedSince(s.upstreamsChange)
	} else {
		changed = n.upstreams.ChangedSince(s.upstreamsChange)
	}
	for _, u := range changed {
		if !toReplica || s.upstreamsChange == 0 || !n.relayed[u.ID] {
			update.Upstreams = append(update.Upstreams, node.EncodeHeartbeat(now, u))
		}
	}
	s.upstreamsChange = n.upstreams.LastChange()
	if !toReplica && s.incremental && (!s.silentSent || !slices.Equal(s.silent, n.silent)) {
		s.silent, s.silentSent = n.silent, true
		update.Silent = &pb.SilentUpstreams{Ids: n.silent}
	}
}

// addDaemons adds the changed daemons and the placement of the storage group. A
// control replica gets the subscribers of this one, other daemons all that this
// replica knows.
func (n *Node) addDaemons(s *subscriber, update *pb.FleetUpdate) {
	n.directoryLock.Lock()
	defer n.directoryLock.Unlock()
	source := n.allDaemons
	if s.self.GetRole() == node.RoleControl {
		source = n.ownDaemons
	}
	if s.daemonsChange != source.changes {
		changes := source.since(s.daemonsChange)
		if s.incremental {
			update.DaemonChanges = changes
		} else {
			update.Daemons = source.list()
		}
		s.daemonsChange = source.changes
	}
	placement := n.placement()
	if !proto.Equal(placement, s.placement) || !slices.Equal(s.control, n.control) {
		s.placement, s.control = placement, n.control
		update.Control = n.control
		update.Storage = placement.GetStorage()
		update.Retiring = placement.GetRetiring()
	}
}

// runDirectory updates the directories until the context ends.
func (n *Node) runDirectory() {
	ticker := time.NewTicker(directoryInterval)
	defer ticker.Stop()
	ownChange, viewVersion := uint64(0), uint64(0)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		own, change := n.subscribers.list()
		version := n.view.DaemonsVersion()
		control := n.controlAddresses()
		n.directoryLock.Lock()
		changed := !slices.Equal(control, n.control)
		n.control = control
		if change != ownChange || version != viewVersion || n.allDaemons.changes == 0 {
			ownChange, viewVersion = change, version
			own = node.UniqueDaemons(append(own, n.settings.Self(n.identity)))
			n.ownDaemons.update(own)
			everything := append(n.view.Daemons(node.RoleEntry, node.RoleStore, node.RoleControl), own...)
			changed = n.allDaemons.update(node.UniqueDaemons(everything)) || changed
		}
		n.directoryLock.Unlock()
		if changed {
			n.subscribers.notify()
		}
	}
}

// controlAddresses lists the addresses of the group's members and of the control
// daemons that may join it.
func (n *Node) controlAddresses() []string {
	addresses := []string{n.settings.Address}
	for _, r := range n.members() {
		addresses = append(addresses, r.GetAddress())
	}
	for _, d := range n.daemonsOf(node.RoleControl) {
		addresses = append(addresses, d.GetAddress())
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// daemonsOf lists the daemons with a role that this or another replica knows.
func (n *Node) daemonsOf(role string) []*pb.Daemon {
	own, _ := n.subscribers.list()
	daemons := append(n.view.Daemons(role), own...)
	return node.UniqueDaemons(slices.DeleteFunc(daemons, func(d *pb.Daemon) bool { return d.GetRole() != role }))
}
