package spread

import (
	"time"

	"github.com/tidwall/btree"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// Default settings of a Publisher and a Subscriber.
const (
	DefaultHeartbeatInterval = 5 * time.Second
	DefaultLeaseDuration     = 25 * time.Second
	// DefaultSuspectAfter exceeds the duration of a leader election.
	DefaultSuspectAfter = 3 * time.Second

	// daemonRetention is the time for which Daemons still includes a daemon
	// after its last report.
	daemonRetention = 10 * time.Minute

	// confirmationsPerHeartbeat is the number of confirmations per heartbeat
	// interval.
	confirmationsPerHeartbeat = 2
	// retriesPerHeartbeat is the number of retries per heartbeat interval after
	// a failed confirmation.
	retriesPerHeartbeat = 10
)

// PublisherOptions are the settings of a Publisher. Zero values mean the
// defaults.
type PublisherOptions struct {
	// HeartbeatInterval is the time between two updates to a daemon without
	// changes.
	HeartbeatInterval time.Duration
	// LeaseDuration is the time for which a confirmation is valid, from its
	// request on.
	LeaseDuration time.Duration
	// SuspectAfter is the time without a confirmation after which the replica
	// notifies its subscribers that it may be partitioned from its group.
	SuspectAfter time.Duration
}

// PublisherInput is an input of a Publisher.
type PublisherInput interface{ publisherInput() }

// Watch subscribes a daemon, or repeats its subscription to report the revision
// in force at the daemon. Each new subscription has a new SubscriberID.
type Watch struct {
	SubscriberID uint64
	Watch        *pb.ConfigWatch
}

// Unwatch ends a subscription.
type Unwatch struct {
	SubscriberID uint64
}

// Applied reports that the replica has applied a configuration revision.
type Applied struct {
	Revision uint64
}

// Confirmed is the response to RequestConfirmation if the replica has applied
// everything that the group had accepted at the time of the request.
type Confirmed struct {
	Revision uint64
}

// ConfirmationFailed is the response to RequestConfirmation if no quorum confirmed.
type ConfirmationFailed struct{}

func (Watch) publisherInput()              {}
func (Unwatch) publisherInput()            {}
func (Applied) publisherInput()            {}
func (Confirmed) publisherInput()          {}
func (ConfirmationFailed) publisherInput() {}

// PublisherOutput is an output of a Publisher.
type PublisherOutput interface{ publisherOutput() }

// SendUpdate is an order to the host code to send the documents that changed
// after FromRevision. Without changes the update is a heartbeat.
type SendUpdate struct {
	SubscriberID uint64
	FromRevision uint64
	// Confirmed is copied into the update.
	Confirmed bool
	// LeaseRemaining is the time for which the confirmation is still valid.
	LeaseRemaining time.Duration
}

// RequestConfirmation is an order to the host code to confirm with a quorum that
// the replica is up to date.
type RequestConfirmation struct{}

func (SendUpdate) publisherOutput()          {}
func (RequestConfirmation) publisherOutput() {}

// Publisher is the core that serves subscriptions on a control replica.
type Publisher struct {
	options              PublisherOptions
	revision             uint64
	publishedRevision    uint64
	subscribers          btree.Map[uint64, *subscriber]
	heartbeatDue         core.Deadlines[uint64]
	awaitingConfirmation []uint64
	daemons              btree.Map[string, *pb.DaemonRevision]
	daemonExpiry         core.Deadlines[string]
	confirmation         confirmation
	outbox               core.Outbox[PublisherOutput]
}

// subscriber is one subscription of a daemon at this replica.
type subscriber struct {
	daemon string
	// sentRevision is the revision up to which changes have been sent.
	sentRevision uint64
	// needConfirmation is the number of the first confirmation that is requested
	// after the subscription.
	needConfirmation uint64
	// sentConfirmed is set once a confirmed update has been sent.
	sentConfirmed bool
}

// confirmation tracks the requests for a confirmation by the quorum. At most one
// is pending.
type confirmation struct {
	// requested is the number of requests so far.
	requested   uint64
	requestedAt time.Time
	pending     bool
	// confirmed is the number of the latest confirmed request, or zero.
	confirmed uint64
	// confirmedRequestAt is the time at which it was requested.
	confirmedRequestAt time.Time
	retryAt            time.Time
	// failingSince is the time of the first request since the latest
	// confirmation, or zero.
	failingSince time.Time
	// suspected is set when no quorum has confirmed for SuspectAfter, until the
	// next confirmation.
	suspected bool
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
		p.handleWatch(now, in)
	case Unwatch:
		p.removeSubscriber(in.SubscriberID)
	case Applied:
		p.revision = max(p.revision, in.Revision)
	case Confirmed:
		p.revision = max(p.revision, in.Revision)
		p.handleConfirmed(now)
	case ConfirmationFailed:
		p.confirmation.pending = false
		p.confirmation.retryAt = now.Add(p.options.HeartbeatInterval / retriesPerHeartbeat)
	}
}

// Tick publishes new revisions and sends heartbeats.
func (p *Publisher) Tick(now time.Time) {
	p.publish(now)
	p.checkQuorumContact(now)
	p.sendHeartbeats(now)
	p.requestConfirmation(now)
	p.expireDaemons(now)
}

// Drain returns the outputs since the last call.
func (p *Publisher) Drain() []PublisherOutput {
	return p.outbox.Drain()
}

// Daemons returns the revision in force at each daemon that has reported to this
// replica within daemonRetention, sorted by daemon.
func (p *Publisher) Daemons() []*pb.DaemonRevision {
	return p.daemons.Values()
}

func (p *Publisher) handleWatch(now time.Time, in Watch) {
	p.recordDaemon(now, in.Watch)
	if _, known := p.subscribers.Get(in.SubscriberID); known {
		return
	}
	p.subscribers.Set(in.SubscriberID, &subscriber{
		daemon:           in.Watch.GetDaemon(),
		sentRevision:     in.Watch.GetFromRevision(),
		needConfirmation: p.confirmation.requested + 1,
	})
	p.awaitingConfirmation = append(p.awaitingConfirmation, in.SubscriberID)
	p.send(now, in.SubscriberID)
	p.requestConfirmation(now)
}

// recordDaemon records the revision in force at a daemon.
func (p *Publisher) recordDaemon(now time.Time, watch *pb.ConfigWatch) {
	p.daemons.Set(watch.GetDaemon(), &pb.DaemonRevision{
		Daemon:     watch.GetDaemon(),
		Role:       watch.GetRole(),
		DataCentre: watch.GetDataCentre(),
		Revision:   watch.GetAppliedRevision(),
		SeenUnixMs: uint64(now.UnixMilli()),
	})
	p.daemonExpiry.Set(watch.GetDaemon(), now.Add(daemonRetention))
}

func (p *Publisher) removeSubscriber(id uint64) {
	p.subscribers.Delete(id)
	p.heartbeatDue.Remove(id)
}

// handleConfirmed sends a confirmed update to the subscribers that wait for one.
func (p *Publisher) handleConfirmed(now time.Time) {
	if !p.confirmation.pending {
		return
	}
	p.confirmation.pending = false
	p.confirmation.confirmed = p.confirmation.requested
	p.confirmation.confirmedRequestAt = p.confirmation.requestedAt
	p.confirmation.failingSince = time.Time{}
	p.confirmation.suspected = false
	waiting := p.awaitingConfirmation
	p.awaitingConfirmation = nil
	for _, id := range waiting {
		p.sendFirstConfirmed(now, id)
	}
	p.requestConfirmation(now)
}

// sendFirstConfirmed sends the first confirmed update to a subscriber, or keeps it
// waiting.
func (p *Publisher) sendFirstConfirmed(now time.Time, id uint64) {
	s, ok := p.subscribers.Get(id)
	if !ok || s.sentConfirmed {
		return
	}
	if s.needConfirmation > p.confirmation.confirmed || p.leaseRemaining(now) <= 0 {
		p.awaitingConfirmation = append(p.awaitingConfirmation, id)
		return
	}
	p.send(now, id)
}

// leaseRemaining returns the time for which the latest confirmation is still
// valid.
func (p *Publisher) leaseRemaining(now time.Time) time.Duration {
	if p.confirmation.confirmed == 0 {
		return 0
	}
	return p.options.LeaseDuration - now.Sub(p.confirmation.confirmedRequestAt)
}

// send sends the missing changes to a subscriber and schedules its next heartbeat.
func (p *Publisher) send(now time.Time, id uint64) {
	s, _ := p.subscribers.Get(id)
	lease := p.leaseRemaining(now)
	output := SendUpdate{SubscriberID: id, FromRevision: s.sentRevision}
	if s.needConfirmation <= p.confirmation.confirmed && lease > 0 && !p.confirmation.suspected {
		output.Confirmed = true
		output.LeaseRemaining = lease
		s.sentConfirmed = true
	}
	s.sentRevision = max(s.sentRevision, p.revision)
	p.heartbeatDue.Set(id, now.Add(p.options.HeartbeatInterval))
	p.outbox.Put(output)
}

// publish sends a new revision to every subscriber that has not received it.
func (p *Publisher) publish(now time.Time) {
	if p.publishedRevision == p.revision {
		return
	}
	p.publishedRevision = p.revision
	p.subscribers.Scan(func(id uint64, s *subscriber) bool {
		if s.sentRevision < p.revision {
			p.send(now, id)
		}
		return true
	})
}

func (p *Publisher) sendHeartbeats(now time.Time) {
	for {
		id, due := p.heartbeatDue.PopExpired(now)
		if !due {
			return
		}
		p.send(now, id)
	}
}

// requestConfirmation requests a confirmation if a subscriber waits for one or if
// the latest one is too old for the next heartbeat.
func (p *Publisher) requestConfirmation(now time.Time) {
	if p.confirmation.pending || p.subscribers.Len() == 0 || now.Before(p.confirmation.retryAt) {
		return
	}
	recent := p.confirmation.confirmed > 0 && now.Sub(p.confirmation.confirmedRequestAt) < p.options.HeartbeatInterval/confirmationsPerHeartbeat
	if recent && len(p.awaitingConfirmation) == 0 {
		return
	}
	p.confirmation.pending = true
	p.confirmation.requested++
	p.confirmation.requestedAt = now
	if p.confirmation.failingSince.IsZero() {
		p.confirmation.failingSince = now
	}
	p.outbox.Put(RequestConfirmation{})
}

// checkQuorumContact sends an unconfirmed update to the subscribers if this
// replica may be partitioned from its group, so that they switch to another one.
func (p *Publisher) checkQuorumContact(now time.Time) {
	failing := p.confirmation.failingSince
	if p.confirmation.suspected || failing.IsZero() || now.Sub(failing) < p.options.SuspectAfter {
		return
	}
	p.confirmation.suspected = true
	p.subscribers.Scan(func(id uint64, s *subscriber) bool {
		if s.sentConfirmed {
			p.send(now, id)
		}
		return true
	})
}

func (p *Publisher) expireDaemons(now time.Time) {
	for {
		daemon, due := p.daemonExpiry.PopExpired(now)
		if !due {
			return
		}
		p.daemons.Delete(daemon)
	}
}
