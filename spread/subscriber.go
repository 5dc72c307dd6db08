package spread

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// Default settings of a Subscriber.
const (
	// DefaultCatchUpTimeout is the time for which a replica may stay behind a
	// revision that another daemon holds.
	DefaultCatchUpTimeout = time.Second
	// DefaultMinRetryDelay and DefaultMaxRetryDelay bound the backoff between
	// attempts to subscribe.
	DefaultMinRetryDelay = 100 * time.Millisecond
	DefaultMaxRetryDelay = 2 * time.Second

	// firstConfirmationFactor times CatchUpTimeout is the time within which a
	// new replica must send a confirmed update.
	firstConfirmationFactor = 2
	// unconfirmedHeartbeats is the number of heartbeat intervals without a
	// confirmed update after which the Subscriber switches to another replica.
	unconfirmedHeartbeats = 2
	// heartbeatsPerReport is the number of heartbeat intervals between two
	// reports of the same revision.
	heartbeatsPerReport = 3
)

// SubscriberOptions are the settings of a Subscriber. Zero values mean the
// defaults.
type SubscriberOptions struct {
	// HeartbeatInterval is the Publisher's heartbeat interval.
	HeartbeatInterval time.Duration
	// CatchUpTimeout is the time for which a replica may stay behind a revision
	// that another daemon holds.
	CatchUpTimeout time.Duration
	// MinRetryDelay and MaxRetryDelay bound the backoff between attempts to
	// subscribe.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// Revision is the revision that the daemon already holds.
	Revision uint64
}

func (o SubscriberOptions) withDefaults() SubscriberOptions {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.CatchUpTimeout == 0 {
		o.CatchUpTimeout = DefaultCatchUpTimeout
	}
	if o.MinRetryDelay == 0 {
		o.MinRetryDelay = DefaultMinRetryDelay
	}
	if o.MaxRetryDelay == 0 {
		o.MaxRetryDelay = DefaultMaxRetryDelay
	}
	return o
}

// SubscriberInput is an input of a Subscriber.
type SubscriberInput interface{ subscriberInput() }

// Attached reports that the connection to a replica is established.
type Attached struct {
	Replica string
}

// Update is an update from the replica.
type Update struct {
	Update *pb.ConfigUpdate
}

// ConnectionLost reports that the connection to a replica was lost or could not
// be established. An empty Replica means the current one.
type ConnectionLost struct {
	Replica string
}

// PeerRevision is the configuration revision in a message of another daemon.
type PeerRevision struct {
	Revision uint64
}

func (Attached) subscriberInput()       {}
func (Update) subscriberInput()         {}
func (ConnectionLost) subscriberInput() {}
func (PeerRevision) subscriberInput()   {}

// SubscriberOutput is an output of a Subscriber.
type SubscriberOutput interface{ subscriberOutput() }

// Attach is an order to the host code to end the current subscription, connect to
// Replica and send it a ConfigWatch from FromRevision.
type Attach struct {
	Replica      string
	FromRevision uint64
}

// Apply is an order to the host code to put an update into force.
type Apply struct {
	Update *pb.ConfigUpdate
}

// ReadinessChanged reports whether the daemon may serve from now on.
type ReadinessChanged struct {
	Ready bool
}

// ReportRevision is an order to the host code to repeat the ConfigWatch on the
// current connection with the revision in force.
type ReportRevision struct {
	Revision uint64
}

func (Attach) subscriberOutput()           {}
func (Apply) subscriberOutput()            {}
func (ReadinessChanged) subscriberOutput() {}
func (ReportRevision) subscriberOutput()   {}

// Subscriber is the core that keeps a daemon's configuration up to date.
type Subscriber struct {
	options        SubscriberOptions
	random         *rand.Rand
	addresses      []string
	nextAddress    int
	failedAttempts int

	// replica is the address of the replica in use, or "".
	replica string
	retryAt time.Time
	// confirmDeadline is the time by which the replica must send the next
	// confirmed update.
	confirmDeadline time.Time
	// confirmed is set once the replica has sent a confirmed update.
	confirmed bool
	reportAt  time.Time
	revision  uint64
	// highestSeen is the highest revision in a message of another daemon.
	highestSeen uint64
	// catchUpDeadline is the time by which the replica must send highestSeen;
	// zero if the revision in force is not behind it.
	catchUpDeadline time.Time
	leaseUntil      time.Time
	ready           bool
	outbox          core.Outbox[SubscriberOutput]
}

// NewSubscriber returns a Subscriber that subscribes to one of the replicas at
// its first tick. The seed determines the order of the replicas.
func NewSubscriber(addresses []string, options SubscriberOptions, seed uint64) *Subscriber {
	s := &Subscriber{
		options:   options.withDefaults(),
		random:    core.NewRand(seed),
		addresses: append([]string(nil), addresses...),
	}
	s.revision = s.options.Revision
	s.random.Shuffle(len(s.addresses), func(i, j int) {
		s.addresses[i], s.addresses[j] = s.addresses[j], s.addresses[i]
	})
	return s
}

// Revision returns the revision in force.
func (s *Subscriber) Revision() uint64 {
	return s.revision
}

// Ready reports whether the daemon holds a confirmed revision whose lease has
// not expired.
func (s *Subscriber) Ready() bool {
	return s.ready
}

// Replica returns the address of the replica in use, or "".
func (s *Subscriber) Replica() string {
	return s.replica
}

// Step handles one input.
func (s *Subscriber) Step(now time.Time, in SubscriberInput) {
	switch in := in.(type) {
	case Attached:
	case Update:
		s.handleUpdate(now, in.Update)
	case ConnectionLost:
		if s.replica != "" && (in.Replica == "" || in.Replica == s.replica) {
			s.detach(now)
		}
	case PeerRevision:
		s.notePeerRevision(now, in.Revision)
	}
}

// Tick ends an expired lease, switches from an unconfirmed or outdated replica
// to the next one, and sends due reports.
func (s *Subscriber) Tick(now time.Time) {
	s.expireLease(now)
	s.checkReplica(now)
	s.attach(now)
	s.report(now)
}

// Drain returns the outputs since the last call.
func (s *Subscriber) Drain() []SubscriberOutput {
	return s.outbox.Drain()
}

func (s *Subscriber) handleUpdate(now time.Time, u *pb.ConfigUpdate) {
	switch config.CheckUpdate(s.revision, u) {
	case config.Applied:
		s.apply(now, u)
	case config.Gap:
		s.subscribe(now)
		return
	case config.Stale:
	}
	if u.GetConfirmed() && u.GetRevision() >= s.revision {
		s.extendLease(now, time.Duration(u.GetLeaseMs())*time.Millisecond)
		return
	}
	if s.confirmed && !u.GetConfirmed() {
		s.detach(now)
	}
}

func (s *Subscriber) apply(now time.Time, u *pb.ConfigUpdate) {
	s.revision = u.GetRevision()
	s.outbox.Put(Apply{Update: u})
	if s.highestSeen <= s.revision {
		s.catchUpDeadline = time.Time{}
	}
	s.reportAt = now
}

// extendLease extends the lease.
func (s *Subscriber) extendLease(now time.Time, lease time.Duration) {
	s.failedAttempts = 0
	s.confirmed = s.replica != ""
	s.confirmDeadline = now.Add(unconfirmedHeartbeats * s.options.HeartbeatInterval)
	if until := now.Add(lease); until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
	s.setReady(now.Before(s.leaseUntil))
}

func (s *Subscriber) setReady(ready bool) {
	if s.ready == ready {
		return
	}
	s.ready = ready
	s.outbox.Put(ReadinessChanged{Ready: ready})
}

// notePeerRevision starts the catch-up timeout of the replica if another daemon
// holds a later revision.
func (s *Subscriber) notePeerRevision(now time.Time, revision uint64) {
	s.highestSeen = max(s.highestSeen, revision)
	if s.highestSeen > s.revision && s.catchUpDeadline.IsZero() {
		s.catchUpDeadline = now.Add(s.options.CatchUpTimeout)
	}
}

func (s *Subscriber) expireLease(now time.Time) {
	if s.ready && !now.Before(s.leaseUntil) {
		s.setReady(false)
	}
}

// checkReplica detaches from a replica that has missed a deadline.
func (s *Subscriber) checkReplica(now time.Time) {
	if s.replica == "" {
		return
	}
	behind := !s.catchUpDeadline.IsZero() && !now.Before(s.catchUpDeadline)
	if behind || !now.Before(s.confirmDeadline) {
		s.detach(now)
	}
}

// detach schedules the next attempt to subscribe. The first attempt at each
// replica is made without delay; later ones back off.
func (s *Subscriber) detach(now time.Time) {
	s.replica = ""
	s.confirmed = false
	s.nextAddress++
	s.failedAttempts++
	s.retryAt = now
	if rounds := s.failedAttempts / len(s.addresses); rounds > 0 {
		s.retryAt = now.Add(s.backoff(rounds))
	}
}

// backoff returns a random delay whose bounds double with each round, up to
// MaxRetryDelay.
func (s *Subscriber) backoff(rounds int) time.Duration {
	delay := s.options.MinRetryDelay
	for range rounds - 1 {
		delay = min(2*delay, s.options.MaxRetryDelay)
	}
	return delay/2 + time.Duration(s.random.Int64N(int64(delay/2)+1))
}

func (s *Subscriber) attach(now time.Time) {
	if s.replica != "" || now.Before(s.retryAt) || len(s.addresses) == 0 {
		return
	}
	s.replica = s.addresses[s.nextAddress%len(s.addresses)]
	s.confirmDeadline = now.Add(firstConfirmationFactor * s.options.CatchUpTimeout)
	if s.highestSeen > s.revision {
		s.catchUpDeadline = now.Add(s.options.CatchUpTimeout)
	}
	s.subscribe(now)
}

// subscribe subscribes to the current replica from the revision in force.
func (s *Subscriber) subscribe(now time.Time) {
	if s.replica == "" {
		return
	}
	s.confirmed = false
	s.reportAt = now.Add(heartbeatsPerReport * s.options.HeartbeatInterval)
	s.outbox.Put(Attach{Replica: s.replica, FromRevision: s.revision})
}

// report reports the revision in force after each change and at intervals.
func (s *Subscriber) report(now time.Time) {
	if s.replica == "" || now.Before(s.reportAt) {
		return
	}
	s.reportAt = now.Add(heartbeatsPerReport * s.options.HeartbeatInterval)
	s.outbox.Put(ReportRevision{Revision: s.revision})
}
