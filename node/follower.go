package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/eventlog"
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
)

// Follower keeps a subscription to each control replica and merges the updates
// into a View.
type Follower struct {
	transport *transport.Client
	view      *View
	self      *pb.Daemon
	logger    *log.Logger
	onChange  func(ViewChanges)

	mu            sync.Mutex
	seeds         []string
	subscriptions map[string]context.CancelFunc
	lastContact   map[string]time.Time
	tasks         sync.WaitGroup
}

// NewFollower returns a follower. onChange is called for each update, possibly
// from several goroutines at once.
func NewFollower(t *transport.Client, view *View, self *pb.Daemon, seeds []string, logger *log.Logger, onChange func(ViewChanges)) *Follower {
	return &Follower{
		transport:     t,
		view:          view,
		self:          self,
		logger:        logger,
		onChange:      onChange,
		seeds:         seeds,
		subscriptions: make(map[string]context.CancelFunc),
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

// discover opens subscriptions to new replicas, and cancels those to replicas that
// are no seeds and had no contact for forgetReplicaAfter.
func (f *Follower) discover(ctx context.Context) {
	discovered := f.view.ControlAddresses()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, address := range slices.Concat(f.seeds, discovered) {
		if _, known := f.subscriptions[address]; known || address == f.self.GetAddress() {
			continue
		}
		if contact, known := f.lastContact[address]; known && now.Sub(contact) > forgetReplicaAfter && !slices.Contains(f.seeds, address) {
			continue
		}
		f.lastContact[address] = now
		subscribed, cancel := context.WithCancel(ctx)
		f.subscriptions[address] = cancel
		f.tasks.Go(func() { f.follow(subscribed, address) })
	}
	for address, cancel := range f.subscriptions {
		if now.Sub(f.lastContact[address]) > forgetReplicaAfter && !slices.Contains(f.seeds, address) {
			cancel()
			delete(f.subscriptions, address)
		}
	}
}

func (f *Follower) follow(ctx context.Context, address string) {
	timeout := openTimeout
	for ctx.Err() == nil {
		connected := false
		err := f.subscribe(ctx, address, timeout, &connected)
		if connected && ctx.Err() == nil {
			f.logger.Warn(eventlog.DependencyLost, "dependency", "control", "address", address, "error", err)
		}
		timeout = min(2*timeout, maxOpenTimeout)
		if connected {
			timeout = openTimeout
		}
		f.view.RemoveDaemonsFrom(address)
		sleep(ctx, retryInterval)
	}
}

// subscribe opens a subscription and applies its updates until it fails or no
// update arrives within updateTimeout. It sets *connected on the first update.
func (f *Follower) subscribe(ctx context.Context, address string, timeout time.Duration, connected *bool) error {
	openCtx, cancel := context.WithTimeout(ctx, timeout)
	stream, err := f.transport.Open(openCtx, transport.Control, address)
	cancel()
	if err != nil {
		return err
	}
	silenceTimer := time.AfterFunc(updateTimeout, func() { f.transport.CloseConnection(transport.Control, address) })
	defer silenceTimer.Stop()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	watch := &pb.FleetWatch{Self: f.self, RoutingVersion: f.view.RoutingVersion()}
	if err := stream.Send(&pb.Envelope{Body: &pb.Envelope_FleetWatch{FleetWatch: watch}}); err != nil {
		return err
	}
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return err
		}
		silenceTimer.Reset(updateTimeout)
		f.recordContact(address)
		if !*connected {
			*connected = true
			f.logger.Info(eventlog.DependencyFound, "dependency", "control", "address", address)
		}
		f.onChange(f.view.Merge(time.Now(), address, envelope.GetFleetUpdate()))
	}
}

func (f *Follower) recordContact(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastContact[address] = time.Now()
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
