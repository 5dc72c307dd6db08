package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/spread"
	"github.com/briarcross/briarcross/transport"
)

const (
	subscriberTick    = 100 * time.Millisecond
	openStreamTimeout = 2 * time.Second
)

// ActiveConfig is the configuration that a daemon applies. It is safe for
// concurrent use; the documents that it returns are never modified.
type ActiveConfig struct {
	mu    sync.RWMutex
	table *config.Table
}

// NewActiveConfig returns an empty configuration.
func NewActiveConfig() *ActiveConfig {
	return &ActiveConfig{table: config.NewTable()}
}

// ProfileOf returns a service with its online and batch profiles; ok is false
// if the service is unknown.
func (c *ActiveConfig) ProfileOf(service string) (svc *pb.Service, online, batch *pb.Profile, ok bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table.ServiceWithProfiles(service)
}

// Services returns all services sorted by name.
func (c *ActiveConfig) Services() []*pb.Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table.Services()
}

// Revision returns the revision of the configuration.
func (c *ActiveConfig) Revision() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table.Revision()
}

func (c *ActiveConfig) applyUpdate(update *pb.ConfigUpdate) config.ApplyOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Apply(update)
}

// ConfigSubscriptionOptions configures a ConfigSubscription.
type ConfigSubscriptionOptions struct {
	Identity  *transport.Identity
	Transport *transport.Client
	// Control holds the addresses of the control replicas.
	Control []string
	// Role is the daemon's role, such as entry or sidecar.
	Role       string
	DataCentre string
	Logger     *log.Logger
	// OnChange is called after a new revision was applied.
	OnChange func(*ActiveConfig)
	// OnReadinessChange is called with true when the configuration becomes
	// confirmed, and with false when the lease of its confirmation expires.
	OnReadinessChange func(bool)
}

// ConfigSubscription keeps a daemon's configuration up to date: it attaches to
// a control replica, applies its updates, and attaches to another replica if
// that one falls behind or sends nothing.
type ConfigSubscription struct {
	options      ConfigSubscriptionOptions
	activeConfig *ActiveConfig
	loop         *loop.Loop[spread.SubscriberInput, spread.SubscriberOutput]
	ctx          context.Context
	cancel       context.CancelFunc
	background   sync.WaitGroup

	mu sync.Mutex
	// stream is the open stream to the attached replica; nil if there is none.
	stream *transport.Stream
	// cancelStream ends the current stream or the attempt to open it.
	cancelStream context.CancelFunc
}

// SubscribeConfig starts a subscription to the configuration.
func SubscribeConfig(options ConfigSubscriptionOptions) *ConfigSubscription {
	ctx, cancel := context.WithCancel(context.Background())
	s := &ConfigSubscription{options: options, activeConfig: NewActiveConfig(), ctx: ctx, cancel: cancel}
	subscriber := spread.NewSubscriber(options.Control, spread.SubscriberOptions{}, options.Identity.Incarnation)
	s.loop = loop.Start[spread.SubscriberInput, spread.SubscriberOutput](subscriber, subscriberTick, s.executeOutput)
	options.Identity.ObserveHeaders(func(h *pb.Header) {
		if h.GetConfigRevision() > s.activeConfig.Revision() {
			s.loop.Post(spread.PeerRevision{Revision: h.GetConfigRevision()})
		}
	})
	return s
}

// ActiveConfig returns the configuration that the daemon applies.
func (s *ConfigSubscription) ActiveConfig() *ActiveConfig {
	return s.activeConfig
}

// Close ends the subscription and waits for its goroutines.
func (s *ConfigSubscription) Close() {
	s.cancel()
	s.loop.Close()
	s.background.Wait()
}

func (s *ConfigSubscription) executeOutput(out spread.SubscriberOutput) {
	switch out := out.(type) {
	case spread.Attach:
		s.attach(out)
	case spread.Apply:
		s.applyUpdate(out.Update)
	case spread.ReportRevision:
		s.reportRevision()
	case spread.ReadinessChanged:
		s.options.OnReadinessChange(out.Ready)
	}
}

func (s *ConfigSubscription) applyUpdate(update *pb.ConfigUpdate) {
	if s.activeConfig.applyUpdate(update) != config.Applied {
		return
	}
	revision := s.activeConfig.Revision()
	s.options.Identity.SetRevision(revision)
	s.options.Logger.Info("applied configuration revision", "revision", revision)
	s.reportRevision()
	s.options.OnChange(s.activeConfig)
}

// reportRevision tells the attached replica which revision this daemon applies.
func (s *ConfigSubscription) reportRevision() {
	s.mu.Lock()
	stream := s.stream
	s.mu.Unlock()
	if stream == nil {
		return
	}
	s.background.Go(func() {
		_ = stream.Send(s.watchEnvelope(s.activeConfig.Revision()))
	})
}

// watchEnvelope returns a request for the changes after a revision. It also
// reports the revision that this daemon applies.
func (s *ConfigSubscription) watchEnvelope(from uint64) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_ConfigWatch{ConfigWatch: &pb.ConfigWatch{
		Daemon:          s.options.Identity.ID,
		Role:            s.options.Role,
		DataCentre:      s.options.DataCentre,
		FromRevision:    from,
		AppliedRevision: s.activeConfig.Revision(),
	}}}
}

// attach replaces the stream by one to the replica of the output.
func (s *ConfigSubscription) attach(out spread.Attach) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	if s.cancelStream != nil {
		s.cancelStream()
	}
	s.cancelStream = cancel
	s.stream = nil
	s.mu.Unlock()
	s.background.Go(func() {
		defer cancel()
		s.receiveUpdates(ctx, out)
		if ctx.Err() == nil {
			s.loop.Post(spread.ConnectionLost{Replica: out.Replica})
		}
	})
}

// receiveUpdates opens a stream to a replica and passes its updates to the loop
// until the stream ends or ctx is cancelled.
func (s *ConfigSubscription) receiveUpdates(ctx context.Context, out spread.Attach) {
	openCtx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	stream, err := s.options.Transport.Open(openCtx, transport.Control, out.Replica)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	if stream.Send(s.watchEnvelope(out.FromRevision)) != nil {
		return
	}
	s.mu.Lock()
	if ctx.Err() == nil {
		s.stream = stream
	}
	s.mu.Unlock()
	s.loop.Post(spread.Attached{Replica: out.Replica})
	for {
		envelope, err := stream.Receive()
		if err != nil || ctx.Err() != nil {
			return
		}
		if update := envelope.GetConfigUpdate(); update != nil {
			s.loop.Post(spread.Update{Update: update})
		}
	}
}
