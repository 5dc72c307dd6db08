package spread

import (
	"time"

	"github.com/tidwall/btree"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// Defaults of a Publisher and a Subscriber.
const (
	DefaultHeartbeatInterval = 5 * time.Second
	DefaultLeaseDuration     = 25 * time.Second
	// DefaultSuspectAfter exceeds the time of an election.
	DefaultSuspectAfter = 3 * time.Second

	// daemonRetention is the time for which the revision of a daemon that
	// went silent is shown.
	daemonRetention = 10 * time.Minute

	// confirmsPerHeartbeat is the number of confirmations in one heartbeat
	// interval.
	confirmsPerHeartbeat = 2
	// retriesPerHeartbeat is the number of repeated questions in one
	// heartbeat interval after a failed one.
	retriesPerHeartbeat = 10
)

// PublisherOptions are the settings of a Publisher. Zero values take the
// defaults.
type PublisherOptions struct {
	// HeartbeatInterval is the time between two updates to an idle daemon.
	HeartbeatInterval time.Duration
	// LeaseDuration is the time for which a confirmation counts.
	LeaseDuration time.Duration
	// SuspectAfter is the time without a confirmation after which the
	// replica tells its subscribers that it may be cut off.
	SuspectAfter time.Duration
}

// PublisherInput is an input of a Publisher.
type PublisherInput interface{ publisherInput() }

// Watch subscribes a daemon, or repeats its subscription as a report of the
// revision in force there. A new subscription has a new Subscriber number.
type Watch struct {
	SubscriberID uint64
	Watch        *pb.ConfigWatch
}

// Unwatch ends a subscription.
type Unwatch struct {
	SubscriberID uint64
}

// Applied reports the configuration revision that the replica has applied.
type Applied struct {
	Revision uint64
}

// Confirmed answers ConfirmWanted: the replica has applied everything that
// the group had accepted when the confirmation was asked for.
type Confirmed struct {
	Revision uint64
}

// ConfirmationFailed answers ConfirmWanted: no quorum confirmed.
type ConfirmationFailed struct{}

func (Watch) publisherInput()              {}
func (Unwatch) publisherInput()            {}
func (Applied) publisherInput()            {}
func (Confirmed) publisherInput()          {}
func (ConfirmationFailed) publisherInput() {}

// PublisherOutput is an output of a Publisher.
type PublisherOutput interface{ publisherOutput() }

// SendUpdate asks the shell to send the documents after revision From. The update
// is a heartbeat when there are none.
type SendUpdate struct {
	SubscriberID uint64
	FromRevision uint64
	// Confirmed is copied into the update.
	Confirmed bool
	// LeaseRemaining is the remaining time for which the confirmation counts.
	LeaseRemaining time.Duration
}

// RequestConfirmation asks the shell to confirm with a quorum that the replica is
// up to date.
type RequestConfirmation struct{}

func (SendUpdate) publisherOutput()          {}
func (RequestConfirmation) publisherOutput() {}

// Publisher is the core that serves subscriptions on a control replica.
type Publisher struct {
	options     PublisherOptions
	revision    uint64
	published   uint64
	subscribers btree.Map[uint64, *subscriber]
	heartbeats  core.Deadlines[uint64]
	waiting     []uint64
	daemons     btree.Map[string, *pb.DaemonRevision]
	forgets     core.Deadlines[string]
	confirm     confirmation
	outbox      core.Outbox[PublisherOutput]
}

// subscriber is one daemon that watches this replica.
type subscriber struct {
	daemon string
	// sent is the revision up to which changes were sent.
	sent uint64
	// need is the first confirmation that started after the subscription.
	need uint64
	// served is set once a confirmed update was sent.
	served bool
}

// confirmation follows the questions to the quorum. At most one is open.
type confirmation struct {
	asked   uint64
	askedAt time.Time
	open    bool
	done    uint64
	doneAt  time.Time
	retryAt time.Time
	// failingSince is the time of the first question that is still without a
	// confirmation, or zero.
	failingSince time.Time
	// suspect is set while no quorum has confirmed for SuspectAfter.
	suspect bool
}

// NewPublisher returns a Publisher without subscribers.
func NewPublisher(options PublisherOptions) *Publisher {
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if options.LeaseDuration == 0 {
		options.LeaseDuration = DefaultLeaseDuration
	}
	if options.SuspectAfter == 0 {
		options.SuspectAfter = DefaultSuspectAfter
	}
	return &Publisher{options: options}
}

// Step handles one input.
func (p *Publisher) Step(now time.Time, in PublisherInput) {
	switch in := in.(type) {
	case Watch:
		p.watch(now, in)
	case Unwatch:
		p.unwatch(in.SubscriberID)
	case Applied:
		p.revision = max(p.revision, in.Revision)
	case Confirmed:
		p.revision = max(p.revision, in.Revision)
		p.confirmed(now)
	case ConfirmationFailed:
		p.confirm.open = false
		p.confirm.retryAt = now.Add(p.options.HeartbeatInterval / retriesPerHeartbeat)
	}
}

// Tick publishes new revisions and sends heartbeats.
func (p *Publisher) Tick(now time.Time) {
	p.publish(now)
	p.suspectSelf(now)
	p.heartbeat(now)
	p.askQuorum(now)
	p.forget(now)
}

// Drain returns the outputs since the last call.
func (p *Publisher) Drain() []PublisherOutput {
	return p.outbox.Drain()
}

// Daemons returns the revision in force at each daemon that watches this
// replica or did so lately, sorted by daemon.
func (p *Publisher) Daemons() []*pb.DaemonRevision {
	return p.daemons.Values()
}

func (p *Publisher) watch(now time.Time, in Watch) {
	p.report(now, in.Watch)
	if _, known := p.subscribers.Get(in.SubscriberID); known {
		return
	}
	p.subscribers.Set(in.SubscriberID, &subscriber{
		daemon: in.Watch.GetDaemon(),
		sent:   in.Watch.GetFromRevision(),
		need:   p.confirm.asked + 1,
	})
	p.waiting = append(p.waiting, in.SubscriberID)
	p.send(now, in.SubscriberID)
	p.askQuorum(now)
}

// report records the revision in force at a daemon.
func (p *Publisher) report(now time.Time, watch *pb.ConfigWatch) {
	p.daemons.Set(watch.GetDaemon(), &pb.DaemonRevision{
		Daemon:     watch.GetDaemon(),
		Role:       watch.GetRole(),
		DataCentre: watch.GetDataCentre(),
		Revision:   watch.GetAppliedRevision(),
		SeenUnixMs: uint64(now.UnixMilli()),
	})
	p.forgets.Set(watch.GetDaemon(), now.Add(daemonRetention))
}

func (p *Publisher) unwatch(id uint64) {
	p.subscribers.Delete(id)
	p.heartbeats.Remove(id)
}

// confirmed sends a confirmed update to the subscribers that wait for one.
func (p *Publisher) confirmed(now time.Time) {
	if !p.confirm.open {
		return
	}
	p.confirm.open = false
	p.confirm.done = p.confirm.asked
	p.confirm.doneAt = p.confirm.askedAt
	p.confirm.failingSince = time.Time{}
	p.confirm.suspect = false
	waiting := p.waiting
	p.waiting = nil
	for _, id := range waiting {
		p.serve(now, id)
	}
	p.askQuorum(now)
}

// serve sends the first confirmed update to a subscriber, or lets it wait on.
func (p *Publisher) serve(now time.Time, id uint64) {
	s, ok := p.subscribers.Get(id)
	if !ok || s.served {
		return
	}
	if s.need > p.confirm.done || p.lease(now) <= 0 {
		p.waiting = append(p.waiting, id)
		return
	}
	p.send(now, id)
}

// lease returns the remaining time of the latest confirmation.
func (p *Publisher) lease(now time.Time) time.Duration {
	if p.confirm.done == 0 {
		return 0
	}
	return p.options.LeaseDuration - now.Sub(p.confirm.doneAt)
}

// send sends what a subscriber lacks and schedules its next heartbeat.
func (p *Publisher) send(now time.Time, id uint64) {
	s, _ := p.subscribers.Get(id)
	lease := p.lease(now)
	output := SendUpdate{SubscriberID: id, FromRevision: s.sent}
	if s.need <= p.confirm.done && lease > 0 && !p.confirm.suspect {
		output.Confirmed = true
		output.LeaseRemaining = lease
		s.served = true
	}
	s.sent = max(s.sent, p.revision)
	p.heartbeats.Set(id, now.Add(p.options.HeartbeatInterval))
	p.outbox.Put(output)
}

// publish sends a new revision to every subscriber that lacks it.
func (p *Publisher) publish(now time.Time) {
	if p.published == p.revision {
		return
	}
	p.published = p.revision
	p.subscribers.Scan(func(id uint64, s *subscriber) bool {
		if s.sent < p.revision {
			p.send(now, id)
		}
		return true
	})
}

func (p *Publisher) heartbeat(now time.Time) {
	for {
		id, due := p.heartbeats.PopExpired(now)
		if !due {
			return
		}
		p.send(now, id)
	}
}

// askQuorum asks for a confirmation when a subscriber waits for one, or the
// latest one would be old at the next heartbeat.
func (p *Publisher) askQuorum(now time.Time) {
	if p.confirm.open || p.subscribers.Len() == 0 || now.Before(p.confirm.retryAt) {
		return
	}
	recent := p.confirm.done > 0 && now.Sub(p.confirm.doneAt) < p.options.HeartbeatInterval/confirmsPerHeartbeat
	if recent && len(p.waiting) == 0 {
		return
	}
	p.confirm.open = true
	p.confirm.asked++
	p.confirm.askedAt = now
	if p.confirm.failingSince.IsZero() {
		p.confirm.failingSince = now
	}
	p.outbox.Put(RequestConfirmation{})
}

// suspectSelf tells the subscribers, by an update that is not confirmed, that
// this replica may be cut off from its group.
func (p *Publisher) suspectSelf(now time.Time) {
	failing := p.confirm.failingSince
	if p.confirm.suspect || failing.IsZero() || now.Sub(failing) < p.options.SuspectAfter {
		return
	}
	p.confirm.suspect = true
	p.subscribers.Scan(func(id uint64, s *subscriber) bool {
		if s.served {
			p.send(now, id)
		}
		return true
	})
}

func (p *Publisher) forget(now time.Time) {
	for {
		daemon, due := p.forgets.PopExpired(now)
		if !due {
			return
		}
		p.daemons.Delete(daemon)
	}
}
