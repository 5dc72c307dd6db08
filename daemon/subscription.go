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
	subscriberTick = 100 * time.Millisecond
	attachTimeout  = 2 * time.Second
)

// Documents is the configuration in force at a daemon. It is safe for
// concurrent use; the documents that it returns are never changed.
type Documents struct {
	mu    sync.RWMutex
	table *config.Table
}

// NewDocuments returns an empty configuration.
func NewDocuments() *Documents {
	return &Documents{table: config.NewTable()}
}

// ProfileOf returns a service with its online and batch profiles.
func (d *Documents) ProfileOf(service string) (svc *pb.Service, online, batch *pb.Profile, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.table.ServiceWithProfiles(service)
}

// Services returns all services in the order of their names.
func (d *Documents) Services() []*pb.Service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.table.Services()
}

// Revision returns the revision in force.
func (d *Documents) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.table.Revision()
}

func (d *Documents) apply(update *pb.ConfigUpdate) config.ApplyOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Apply(update)
}

// SubscriptionOptions configure a Subscription.
type SubscriptionOptions struct {
	Identity   *transport.Identity
	Transport  *transport.Client
	Control    []string
	Role       string
	DataCentre string
	Logger     *log.Logger
	// Changed is called after a change of the revision in force.
	Changed func(*Documents)
	// Ready is called when the configuration becomes confirmed, or its lease
	// lapses.
	Ready func(bool)
}

// Subscription keeps a daemon's configuration in force: it attaches to a
// control replica, applies its updates, and moves to another replica when the
// attached one falls behind or silent.
type Subscription struct {
	options   SubscriptionOptions
	documents *Documents
	loop      *loop.Loop[spread.SubscriberInput, spread.SubscriberOutput]
	ctx       context.Context
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	mu     sync.Mutex
	stream *transport.Stream
	detach context.CancelFunc
}

// Subscribe starts a subscription.
func Subscribe(o SubscriptionOptions) *Subscription {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscription{options: o, documents: NewDocuments(), ctx: ctx, cancel: cancel}
	subscriber := spread.NewSubscriber(o.Control, spread.SubscriberOptions{}, o.Identity.Incarnation)
	s.loop = loop.Start[spread.SubscriberInput, spread.SubscriberOutput](subscriber, subscriberTick, s.carry)
	o.Identity.Observe(func(h *pb.Header) {
		if h.GetConfigRevision() > s.documents.Revision() {
			s.loop.Post(spread.PeerRevision{Revision: h.GetConfigRevision()})
		}
	})
	return s
}

// Documents returns the configuration in force.
func (s *Subscription) Documents() *Documents {
	return s.documents
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.cancel()
	s.loop.Close()
	s.wait.Wait()
}

func (s *Subscription) carry(out spread.SubscriberOutput) {
	switch out := out.(type) {
	case spread.Attach:
		s.attach(out)
	case spread.Apply:
		s.apply(out.Update)
	case spread.Report:
		s.report()
	case spread.Ready:
		s.options.Ready(out.Ready)
	}
}

func (s *Subscription) apply(update *pb.ConfigUpdate) {
	if s.documents.apply(update) != config.Applied {
		return
	}
	revision := s.documents.Revision()
	s.options.Identity.SetRevision(revision)
	s.options.Logger.Info("configuration in force", "revision", revision)
	s.report()
	s.options.Changed(s.documents)
}

// report tells the attached replica which revision is in force here.
func (s *Subscription) report() {
	s.mu.Lock()
	stream := s.stream
	s.mu.Unlock()
	if stream == nil {
		return
	}
	s.wait.Go(func() {
		_ = stream.Send(s.watch(s.documents.Revision()))
	})
}

func (s *Subscription) watch(from uint64) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_ConfigWatch{ConfigWatch: &pb.ConfigWatch{
		Daemon:          s.options.Identity.ID,
		Role:            s.options.Role,
		DataCentre:      s.options.DataCentre,
		FromRevision:    from,
		AppliedRevision: s.documents.Revision(),
	}}}
}

// attach replaces the stream by one to the named replica.
func (s *Subscription) attach(out spread.Attach) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	if s.detach != nil {
		s.detach()
	}
	s.detach = cancel
	s.stream = nil
	s.mu.Unlock()
	s.wait.Go(func() {
		defer cancel()
		s.read(ctx, out)
		if ctx.Err() == nil {
			s.loop.Post(spread.Lost{Replica: out.Replica})
		}
	})
}

func (s *Subscription) read(ctx context.Context, out spread.Attach) {
	openCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	stream, err := s.options.Transport.Open(openCtx, transport.Control, out.Replica)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	defer func() { _ = stream.Close() }()
	if stream.Send(s.watch(out.From)) != nil {
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
