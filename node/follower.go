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
	// UpdateInterval is the longest time between two updates of a control
	// replica; an update without changes shows that the connection lives.
	UpdateInterval = 400 * time.Millisecond
	// updateTimeout is the silence after which a subscription is opened anew.
	updateTimeout = 4 * UpdateInterval
	// retryInterval is the pause between two attempts to subscribe.
	retryInterval = 50 * time.Millisecond
	// openTimeout bounds the first attempt, and doubles up to maxOpenTimeout. A
	// VM without power answers nothing; a new attempt reaches it as soon as it
	// is back, while one that waits is repeated by the kernel after a second.
	openTimeout    = 250 * time.Millisecond
	maxOpenTimeout = time.Second
	// discoverInterval is the pause between two looks for new control replicas.
	discoverInterval = 200 * time.Millisecond
	// forgetAfter is the time without contact after which a control replica
	// that no seed names is forgotten.
	forgetAfter = 30 * time.Second
)

// Follower keeps a subscription to each control replica.
type Follower struct {
	transport *transport.Client
	view      *View
	self      *pb.Daemon
	logger    *log.Logger
	onChange  func(Changes)

	mu      sync.Mutex
	seeds   []string
	running map[string]context.CancelFunc
	heard   map[string]time.Time
	wait    sync.WaitGroup
}

// NewFollower returns a follower. OnChange is called for each update, by
// several goroutines.
func NewFollower(t *transport.Client, view *View, self *pb.Daemon, seeds []string, logger *log.Logger, onChange func(Changes)) *Follower {
	return &Follower{
		transport: t,
		view:      view,
		self:      self,
		logger:    logger,
		onChange:  onChange,
		seeds:     seeds,
		running:   make(map[string]context.CancelFunc),
		heard:     make(map[string]time.Time),
	}
}

// SetSeeds replaces the seeds; replicas that were learnt stay.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(seeds)
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(discoverInterval)
	defer ticker.Stop()
	for {
		f.discover(ctx)
		select {
		case <-ctx.Done():
			f.wait.Wait()
			return
		case <-ticker.C:
		}
	}
}

// discover subscribes to replicas that are new and drops those that are gone.
func (f *Follower) discover(ctx context.Context) {
	learnt := f.view.Control()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, address := range slices.Concat(f.seeds, learnt) {
		if _, known := f.running[address]; known || address == f.self.GetAddress() {
			continue
		}
		if last, known := f.heard[address]; known && now.Sub(last) > forgetAfter && !slices.Contains(f.seeds, address) {
			continue
		}
		f.heard[address] = now
		followed, cancel := context.WithCancel(ctx)
		f.running[address] = cancel
		f.wait.Go(func() { f.follow(followed, address) })
	}
	for address, cancel := range f.running {
		if now.Sub(f.heard[address]) > forgetAfter && !slices.Contains(f.seeds, address) {
			cancel()
			delete(f.running, address)
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
		f.view.Lost(address)
		pause(ctx, retryInterval)
	}
}

// subscribe reads updates until the subscription breaks or falls silent.
func (f *Follower) subscribe(ctx context.Context, address string, timeout time.Duration, connected *bool) error {
	opening, cancel := context.WithTimeout(ctx, timeout)
	stream, err := f.transport.Open(opening, transport.Control, address)
	cancel()
	if err != nil {
		return err
	}
	silent := time.AfterFunc(updateTimeout, func() { f.transport.CloseConnection(transport.Control, address) })
	defer silent.Stop()
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
		silent.Reset(updateTimeout)
		f.note(address)
		if !*connected {
			*connected = true
			f.logger.Info(eventlog.DependencyFound, "dependency", "control", "address", address)
		}
		f.onChange(f.view.Merge(time.Now(), address, envelope.GetFleetUpdate()))
	}
}

func (f *Follower) note(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[address] = time.Now()
}

// pause waits, at most until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
