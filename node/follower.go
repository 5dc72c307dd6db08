package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	// UpdateInterval is the maximum time between two updates from a control
	// replica. An update without changes serves as a keepalive.
	UpdateInterval = 400 * time.Millisecond
	// updateTimeout is the time without an update after which a subscription is
	// reopened.
	updateTimeout = 4 * UpdateInterval
	// retryInterval is the delay between two attempts to subscribe.
	retryInterval = 50 * time.Millisecond
	// openTimeout limits the first connection attempt; it doubles with each failed
	// attempt up to maxOpenTimeout. A VM without power does not respond: a new
	// attempt reaches it as soon as it is up again, whereas the kernel retries a
	// pending attempt only after a second.
	openTimeout    = 250 * time.Millisecond
	maxOpenTimeout = time.Second
	// discoverInterval is the interval at which subscriptions are opened to new
	// control replicas and closed to those that are gone.
	discoverInterval = 200 * time.Millisecond
	// forgetReplicaAfter is the time without contact after which a control replica
	// that is not a seed is forgotten.
	forgetReplicaAfter = 30 * time.Second
	// connectGrace is the time for which a new subscription counts as working
	// before its first update.
	connectGrace = 500 * time.Millisecond
	// outdatedGrace is the time for which a replica counts as working without contact
	// with the majority. An election takes less.
	outdatedGrace = 2 * time.Second
	// minEvidenceInterval is the shortest time between two messages with evidence to a
	// replica.
	minEvidenceInterval = 20 * time.Millisecond
	// wantedReplicas is the number of working subscriptions that a daemon keeps. Two
	// of them may fail at once without an interruption.
	wantedReplicas = 3
)

// Follower keeps subscriptions to some control replicas and merges the updates
// into a View. A control replica follows all others.
type Follower struct {
	transport *transport.Client
	view      *View
	self      *pb.Daemon
	logger    *log.Logger
	onChange  func(ViewChanges)
	// evidence is exchanged with the replicas: each daemon sends them what it knows.
	evidence *Quarantine
	// routing receives the routing tables; nil at control replicas, which have them from
	// their log.
	routing *RoutingReceiver

	mu            sync.Mutex
	seeds         []string
	subscriptions map[string]*subscription
	lastContact   map[string]time.Time
	tasks         sync.WaitGroup
}

// subscription is the state of the subscription to one control replica.
type subscription struct {
	// address is that of the replica.
	address  string
	cancel   context.CancelFunc
	openedAt time.Time
	// connected is set while updates arrive. currentAt is when the replica was last in
	// contact with the majority of its group.
	connected bool
	currentAt time.Time
	// stream is nil while there is no connection.
	stream *transport.Stream
	// evidenceChanged is signalled when there is evidence to send.
	evidenceChanged chan struct{}
}

func (s *subscription) working(now time.Time) bool {
	return s.connected && now.Sub(s.currentAt) < outdatedGrace || now.Sub(s.openedAt) < connectGrace
}

// NewFollower returns a follower. routing is nil at control replicas. onChange is called for each
// update, one call after the other in the order of the changes, and must not block.
func NewFollower(t *transport.Client, view *View, evidence *Quarantine, routing *RoutingReceiver, self *pb.Daemon, seeds []string, logger *log.Logger, onChange func(ViewChanges)) *Follower {
	return &Follower{
		evidence:      evidence,
		routing:       routing,
		transport:     t,
		view:          view,
		self:          self,
		logger:        logger,
		onChange:      onChange,
		seeds:         seeds,
		subscriptions: make(map[string]*subscription),
		lastContact:   make(map[string]time.Time),
	}
}

// SetSeeds replaces the seed addresses. Subscriptions to discovered replicas stay.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(seeds)
}

// Run discovers and follows control replicas until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(discoverInterval)
	defer ticker.Stop()
	for {
		f.discover(ctx)
		select {
		case <-ctx.Done():
			f.tasks.Wait()
			return
		case <-ticker.C:
		}
	}
}

// discover opens and cancels subscriptions, so that those to the replicas of
// highest preference stay, up to wantedReplicas that work. It forgets replicas that
// are no seeds and had no contact for forgetReplicaAfter.
func (f *Follower) discover(ctx context.Context) {
	discovered := f.view.ControlAddresses()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	working := 0
	wanted := make(map[string]bool)
	for _, address := range f.byPreference(now, slices.Concat(f.seeds, discovered)) {
		if working == wantedReplicas && f.self.GetRole() != RoleControl {
			break
		}
		wanted[address] = true
		if f.subscriptions[address] == nil {
			f.open(ctx, now, address)
		}
		if f.subscriptions[address].working(now) {
			working++
		}
	}
	for address, s := range f.subscriptions {
		if wanted[address] {
			continue
		}
		s.cancel()
		delete(f.subscriptions, address)
		if now.Sub(f.lastContact[address]) <= forgetReplicaAfter {
			delete(f.lastContact, address)
		}
	}
}

// byPreference orders the addresses of other replicas: those of this data centre
// first, the others in an order of this daemon's own, which spreads the daemons
// over the replicas.
func (f *Follower) byPreference(now time.Time, addresses []string) []string {
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(address string) bool {
		contact, known := f.lastContact[address]
		forgotten := known && now.Sub(contact) > forgetReplicaAfter && !slices.Contains(f.seeds, address)
		return address == f.self.GetAddress() || forgotten
	})
	local := make(map[string]bool)
	for _, d := range f.view.Daemons(RoleControl) {
		local[d.GetAddress()] = d.GetDataCentre() == f.self.GetDataCentre()
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(f.self.GetAddress() + " " + address) }
	slices.SortFunc(addresses, func(a, b string) int {
		if local[a] != local[b] {
			if local[a] {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return addresses
}

// open opens the subscription to a replica. The caller must hold mu.
func (f *Follower) open(ctx context.Context, now time.Time, address string) {
	if _, known := f.lastContact[address]; !known {
		f.lastContact[address] = now
	}
	subscribed, cancel := context.WithCancel(ctx)
	s := &subscription{address: address, cancel: cancel, openedAt: now, evidenceChanged: make(chan struct{}, 1)}
	f.subscriptions[address] = s
	f.tasks.Go(func() { f.follow(subscribed, address, s) })
}

func (f *Follower) follow(ctx context.Context, address string, s *subscription) {
	timeout := openTimeout
	for ctx.Err() == nil {
		connected, err := f.subscribe(ctx, address, timeout, s)
		if connected && ctx.Err() == nil {
			f.logger.Warn(eventlog.DependencyLost, "dependency", "control", "address", address, "error", err)
		}
		timeout = min(2*timeout, maxOpenTimeout)
		if connected {
			timeout = openTimeout
		}
		f.mu.Lock()
		s.connected, s.stream = false, nil
		// After a change of preference, a later subscription may be open already.
		if current := f.subscriptions[address]; current == s || current == nil {
			f.view.RemoveReplica(address)
		}
		f.mu.Unlock()
		sleep(ctx, retryInterval)
	}
}

// subscribe opens a subscription and applies its updates until it fails or no
// update arrives within updateTimeout. It reports whether any arrived.
func (f *Follower) subscribe(ctx context.Context, address string, timeout time.Duration, s *subscription) (connected bool, err error) {
	openCtx, cancel := context.WithTimeout(ctx, timeout)
	stream, err := f.transport.Open(openCtx, transport.Control, address)
	cancel()
	if err != nil {
		return false, err
	}
	silenceTimer := time.AfterFunc(updateTimeout, func() { f.transport.CloseConnection(transport.Control, address) })
	defer silenceTimer.Stop()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	if err := f.watch(stream, nil); err != nil {
		return false, err
	}
	if f.routing != nil {
		defer f.routing.Lost(address)
	}
	subscribed, unsubscribe := context.WithCancel(ctx)
	defer unsubscribe()
	f.tasks.Go(func() { f.sendEvidence(subscribed, stream, s) })
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return connected, err
		}
		receivedAt := time.Now()
		silenceTimer.Reset(updateTimeout)
		update := envelope.GetFleetUpdate()
		f.recordUpdate(address, s, stream, update)
		if !connected {
			connected = true
			f.logger.Info(eventlog.DependencyFound, "dependency", "control", "address", address)
		}
		f.evidence.Merge(update.GetEvidence())
		before := f.routingVersion()
		changes := f.view.MergeAndApply(receivedAt, address, update, f.onChange)
		for _, rejected := range changes.Rejected {
			f.logger.Warn(eventlog.HeartbeatRejected, "upstream", identifier.Loggable(rejected.ID), "reason", "invalid", "from", address, "error", rejected.Err)
		}
		if f.routing == nil {
			continue
		}
		if request := f.routing.ReceiveUpdate(receivedAt, address, update); request != nil {
			// A failed send ends the subscription's Receive as well.
			f.tasks.Go(func() { _ = f.watch(stream, request) })
		}
		if f.routingVersion() > before {
			f.announceRouting(s, update.GetRoutingPart() != nil)
		}
	}
}

// routingVersion returns the latest version of the routing table that this daemon has received.
func (f *Follower) routingVersion() uint64 {
	if f.routing == nil {
		return f.view.RoutingVersion()
	}
	return f.routing.Version()
}

// announceRouting tells the other replicas which routing table this daemon has, so
// that they need not send it. A replica that sent it in parts does not know yet either.
func (f *Follower) announceRouting(from *subscription, inParts bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscriptions {
		if stream := s.stream; (s != from || inParts) && stream != nil {
			// A failed send ends the subscription's Receive as well.
			f.tasks.Go(func() { _ = f.watch(stream, nil) })
		}
	}
}

// EvidenceChanged makes the follower send new evidence to the replicas. It never blocks.
func (f *Follower) EvidenceChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.subscriptions {
		select {
		case s.evidenceChanged <- struct{}{}:
		default:
		}
	}
}

// sendEvidence sends the evidence to a replica, at first all of it, until the context
// ends or the subscription breaks.
func (f *Follower) sendEvidence(ctx context.Context, stream *transport.Stream, s *subscription) {
	sent := uint64(0)
	for {
		evidence, last := f.evidence.Since(sent)
		if evidence != nil {
			watch := f.newWatch()
			watch.Evidence = evidence
			omitted, err := stream.SendEncodable(&pb.Envelope{Body: &pb.Envelope_FleetWatch{FleetWatch: watch}})
			if len(omitted) > 0 {
				f.logger.Warn(eventlog.RecordNotSent, "to", s.address, "records", len(omitted), "first", omitted[0])
			}
			if err != nil {
				return
			}
			sent = last
		}
		sleep(ctx, minEvidenceInterval)
		select {
		case <-ctx.Done():
			return
		case <-s.evidenceChanged:
		}
	}
}

// watch subscribes to a replica, or tells it the routing table that this daemon has. The request
// may be nil.
func (f *Follower) watch(stream *transport.Stream, request *pb.RoutingRequest) error {
	watch := f.newWatch()
	watch.RoutingRequest = request
	return stream.Send(&pb.Envelope{Body: &pb.Envelope_FleetWatch{FleetWatch: watch}})
}

func (f *Follower) newWatch() *pb.FleetWatch {
	return &pb.FleetWatch{Self: f.self, RoutingVersion: f.routingVersion(), Incremental: true, RoutingChanges: true}
}

func (f *Follower) recordUpdate(address string, s *subscription, stream *transport.Stream, update *pb.FleetUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.lastContact[address] = now
	s.connected, s.stream = true, stream
	if update.GetCurrent() {
		s.currentAt = now
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
