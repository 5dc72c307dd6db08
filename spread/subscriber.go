package spread

import (
	"math/rand/v2"
	"time"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/pb"
)

// Defaults of a Subscriber.
const (
	// DefaultBehindGrace is the time for which a replica may stay behind a
	// revision seen at another daemon.
	DefaultBehindGrace = time.Second
	// DefaultRetryMin and DefaultRetryMax bound the backoff between attempts.
	DefaultRetryMin = 100 * time.Millisecond
	DefaultRetryMax = 2 * time.Second

	// attachFactor times the behind grace is the time for a first confirmed
	// update from a new replica.
	attachFactor = 2
	// silentHeartbeats is the number of heartbeats without confirmation
	// after which a replica is left.
	silentHeartbeats = 2
	// reportHeartbeats is the number of heartbeats between two reports of
	// the same revision.
	reportHeartbeats = 3
)

// SubscriberOptions are the settings of a Subscriber. Zero values take the
// defaults.
type SubscriberOptions struct {
	// Heartbeat is the Publisher's heartbeat interval.
	Heartbeat time.Duration
	// BehindGrace is the time for which a replica may stay behind.
	BehindGrace time.Duration
	// RetryMin and RetryMax bound the backoff between attempts.
	RetryMin time.Duration
	RetryMax time.Duration
	// Revision is the revision that the daemon already holds.
	Revision uint64
}

func (o SubscriberOptions) withDefaults() SubscriberOptions {
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.BehindGrace == 0 {
		o.BehindGrace = DefaultBehindGrace
	}
	if o.RetryMin == 0 {
		o.RetryMin = DefaultRetryMin
	}
	if o.RetryMax == 0 {
		o.RetryMax = DefaultRetryMax
	}
	return o
}

// SubscriberInput is an input of a Subscriber.
type SubscriberInput interface{ subscriberInput() }

// Attached reports that the connection to a replica stands.
type Attached struct {
	Replica string
}

// Update is an update from the replica.
type Update struct {
	Update *pb.ConfigUpdate
}

// Lost reports that the connection to a replica broke or could not be made.
// An empty Replica means the current one.
type Lost struct {
	Replica string
}

// PeerRevision is the revision in a message of another daemon.
type PeerRevision struct {
	Revision uint64
}

func (Attached) subscriberInput()     {}
func (Update) subscriberInput()       {}
func (Lost) subscriberInput()         {}
func (PeerRevision) subscriberInput() {}

// SubscriberOutput is an output of a Subscriber.
type SubscriberOutput interface{ subscriberOutput() }

// Attach asks the shell to leave the present replica, connect to another one
// and send it a ConfigWatch from revision From.
type Attach struct {
	Replica string
	From    uint64
}

// Apply asks the shell to put an update in force.
type Apply struct {
	Update *pb.ConfigUpdate
}

// Ready reports whether the daemon may serve.
type Ready struct {
	Ready bool
}

// Report asks the shell to repeat the ConfigWatch on the present connection,
// with the revision in force.
type Report struct {
	Revision uint64
}

func (Attach) subscriberOutput() {}
func (Apply) subscriberOutput()  {}
func (Ready) subscriberOutput()  {}
func (Report) subscriberOutput() {}

// Subscriber is the core that keeps a daemon's configuration in force.
type Subscriber struct {
	options   SubscriberOptions
	random    *rand.Rand
	addresses []string
	position  int
	attempts  int

	replica     string
	retryAt     time.Time
	confirmBy   time.Time
	confirmed   bool
	reportAt    time.Time
	revision    uint64
	wanted      uint64
	behindUntil time.Time
	leaseUntil  time.Time
	ready       bool
	outbox      core.Outbox[SubscriberOutput]
}

// NewSubscriber returns a Subscriber that attaches to one of the replicas at
// its first tick. The seed decides the order of the replicas.
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
// not lapsed.
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
		s.update(now, in.Update)
	case Lost:
		if s.replica != "" && (in.Replica == "" || in.Replica == s.replica) {
			s.detach(now)
		}
	case PeerRevision:
		s.peer(now, in.Revision)
	}
}

// Tick leaves a silent or outdated replica, attaches to the next one and
// ends a lapsed lease.
func (s *Subscriber) Tick(now time.Time) {
	s.expireLease(now)
	s.leaveReplica(now)
	s.attach(now)
	s.report(now)
}

// Drain returns the outputs since the last call.
func (s *Subscriber) Drain() []SubscriberOutput {
	return s.outbox.Drain()
}

func (s *Subscriber) update(now time.Time, u *pb.ConfigUpdate) {
	switch config.CheckUpdate(s.revision, u) {
	case config.Applied:
		s.apply(now, u)
	case config.Gap:
		s.subscribe(now)
		return
	case config.Stale:
	}
	if u.GetConfirmed() && u.GetRevision() >= s.revision {
		s.confirm(now, time.Duration(u.GetLeaseMs())*time.Millisecond)
		return
	}
	if s.confirmed && !u.GetConfirmed() {
		s.detach(now)
	}
}

func (s *Subscriber) apply(now time.Time, u *pb.ConfigUpdate) {
	s.revision = u.GetRevision()
	s.outbox.Put(Apply{Update: u})
	if s.wanted <= s.revision {
		s.behindUntil = time.Time{}
	}
	s.reportAt = now
}

// confirm extends the lease.
func (s *Subscriber) confirm(now time.Time, lease time.Duration) {
	s.attempts = 0
	s.confirmed = s.replica != ""
	s.confirmBy = now.Add(silentHeartbeats * s.options.Heartbeat)
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
	s.outbox.Put(Ready{Ready: ready})
}

// peer starts the grace time of the replica when another daemon holds a later
// revision.
func (s *Subscriber) peer(now time.Time, revision uint64) {
	s.wanted = max(s.wanted, revision)
	if s.wanted > s.revision && s.behindUntil.IsZero() {
		s.behindUntil = now.Add(s.options.BehindGrace)
	}
}

func (s *Subscriber) expireLease(now time.Time) {
	if s.ready && !now.Before(s.leaseUntil) {
		s.setReady(false)
	}
}

// leaveReplica detaches from a replica that stays behind or unconfirmed.
func (s *Subscriber) leaveReplica(now time.Time) {
	if s.replica == "" {
		return
	}
	behind := !s.behindUntil.IsZero() && !now.Before(s.behindUntil)
	if behind || !now.Before(s.confirmBy) {
		s.detach(now)
	}
}

// detach plans the next attempt. The first attempts follow at once, one for
// each replica; later ones back off.
func (s *Subscriber) detach(now time.Time) {
	s.replica = ""
	s.confirmed = false
	s.position++
	s.attempts++
	s.retryAt = now
	if rounds := s.attempts / len(s.addresses); rounds > 0 {
		s.retryAt = now.Add(s.backoff(rounds))
	}
}

// backoff returns a random delay that doubles with each round.
func (s *Subscriber) backoff(rounds int) time.Duration {
	delay := s.options.RetryMin
	for range rounds - 1 {
		delay = min(2*delay, s.options.RetryMax)
	}
	return delay/2 + time.Duration(s.random.Int64N(int64(delay/2)+1))
}

func (s *Subscriber) attach(now time.Time) {
	if s.replica != "" || now.Before(s.retryAt) || len(s.addresses) == 0 {
		return
	}
	s.replica = s.addresses[s.position%len(s.addresses)]
	s.confirmBy = now.Add(attachFactor * s.options.BehindGrace)
	if s.wanted > s.revision {
		s.behindUntil = now.Add(s.options.BehindGrace)
	}
	s.subscribe(now)
}

// subscribe asks the present replica for everything after the revision.
func (s *Subscriber) subscribe(now time.Time) {
	if s.replica == "" {
		return
	}
	s.confirmed = false
	s.reportAt = now.Add(reportHeartbeats * s.options.Heartbeat)
	s.outbox.Put(Attach{Replica: s.replica, From: s.revision})
}

// report repeats the revision in force after each change and as a heartbeat.
func (s *Subscriber) report(now time.Time) {
	if s.replica == "" || now.Before(s.reportAt) {
		return
	}
	s.reportAt = now.Add(reportHeartbeats * s.options.Heartbeat)
	s.outbox.Put(Report{Revision: s.revision})
}
