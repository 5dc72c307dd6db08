package spread

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/internal/soak"
	"github.com/briarcross/briarcross/pb"
)

func TestChangesReachEveryDaemonWithinTwoTicks(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 3, 50)
	c.run(time.Second)
	g.Expect(c.daemonsUpToDate()).To(Equal(50))
	c.accept(c.nextChange(0))
	c.run(2 * tick)
	g.Expect(c.daemonsUpToDate()).To(Equal(50))
	g.Expect(c.violations()).To(BeEmpty())
}

func TestDaemonsDetachFromAPartitionedReplica(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, 3, 30)
	c.run(10 * time.Second)
	isolated := c.replicas[0]
	g.Expect(isolated.watchers).NotTo(BeEmpty())
	isolated.partitioned = true
	c.accept(c.nextChange(0))
	c.run(DefaultHeartbeatInterval/confirmationsPerHeartbeat + DefaultSuspectAfter + time.Second)
	g.Expect(c.daemonsUpToDate()).To(Equal(30))
	g.Expect(isolated.watchers).To(BeEmpty())
	g.Expect(c.violations()).To(BeEmpty())
}

func TestPeerRevisionRevealsAPartitionedReplica(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3, 3, 30)
	c.run(10 * time.Second)
	isolated := c.replicas[0]
	isolated.partitioned = true
	c.accept(c.nextChange(0))
	c.run(2 * tick)
	for _, d := range c.daemons {
		d.subscriber.Step(c.now, PeerRevision{Revision: c.accepted()})
	}
	c.run(DefaultCatchUpTimeout + 3*tick)
	g.Expect(c.daemonsUpToDate()).To(Equal(30))
	g.Expect(isolated.watchers).To(BeEmpty())
}

func TestLeaseExpiresWhenNoQuorumConfirms(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4, 3, 5)
	c.run(time.Second)
	for _, r := range c.replicas {
		r.partitioned = true
	}
	c.run(DefaultLeaseDuration / 2)
	g.Expect(c.daemons[0].subscriber.Ready()).To(BeTrue())
	c.run(DefaultLeaseDuration)
	for _, d := range c.daemons {
		g.Expect(d.subscriber.Ready()).To(BeFalse())
	}
	c.heal()
	c.run(DefaultMaxRetryDelay + time.Second)
	g.Expect(c.daemonsUpToDate()).To(Equal(5))
}

func TestRestartAfterFiveHundredChanges(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(5, 3, 6)
	c.run(time.Second)
	for i := range 500 {
		c.accept(c.nextChange(i % 7))
	}
	c.replicas[1].partitioned = true
	c.run(tick)
	for i := range c.daemons {
		c.restart(i)
	}
	c.run(8 * time.Second)
	g.Expect(c.daemonsUpToDate()).To(Equal(6))
	g.Expect(c.violations()).To(BeEmpty())
}

// TestConfigurationNeverRevertsUnderRandomFaults checks that no daemon reverts
// to an older revision, and that all have the last one once the faults end.
func TestConfigurationNeverRevertsUnderRandomFaults(t *testing.T) {
	for _, seed := range soak.Seeds(t, 60) {
		g := NewWithT(t)
		replay := soak.ReplayCommand(t, "spread", seed)
		c := newCluster(seed, 3, 8)
		c.lossy = seed%2 == 1
		for range 60 {
			c.disturb()
			c.run(time.Duration(1+c.random.IntN(20)) * tick)
		}
		c.lossy = false
		c.heal()
		c.run(15 * time.Second)
		g.Expect(c.violations()).To(BeEmpty(), replay)
		g.Expect(c.daemonsUpToDate()).To(Equal(8), replay)
		for _, d := range c.daemons {
			g.Expect(d.hasDocumentsOf(c.replicas[0])).To(BeTrue(), "%s, %s", replay, d.name)
		}
	}
}

// disturb makes a random change, partition, restart, connection loss or peer
// message.
func (c *cluster) disturb() {
	switch c.random.IntN(6) {
	case 0, 1:
		c.accept(c.nextChange(c.random.IntN(4)))
	case 2:
		c.heal()
		c.replicas[c.random.IntN(len(c.replicas))].partitioned = true
	case 3:
		c.restart(c.random.IntN(len(c.daemons)))
	case 4:
		d := c.daemons[c.random.IntN(len(c.daemons))]
		d.subscriber.Step(c.now, ConnectionLost{})
	case 5:
		from := c.daemons[c.random.IntN(len(c.daemons))]
		to := c.daemons[c.random.IntN(len(c.daemons))]
		to.subscriber.Step(c.now, PeerRevision{Revision: from.table.Revision()})
	}
}

// hasDocumentsOf reports whether the daemon holds the same documents as a replica.
func (d *testDaemon) hasDocumentsOf(r *testReplica) bool {
	for _, doc := range r.state.Query(r.store, &pb.ConfigQuery{}).GetDocuments() {
		profile, ok := d.table.Profile(doc.GetProfile().GetName())
		if !ok || profile.GetPriority() != doc.GetProfile().GetPriority() {
			return false
		}
	}
	return d.table.Revision() == r.state.Revision(r.store)
}

func TestSubscriberSubscribesAgainAfterAGap(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := NewSubscriber([]string{"a"}, SubscriberOptions{}, 1)
	s.Tick(now)
	g.Expect(s.Drain()).To(Equal([]SubscriberOutput{Attach{Replica: "a", FromRevision: 0}}))
	s.Step(now, Update{Update: &pb.ConfigUpdate{Base: 0, Revision: 2, Confirmed: true, LeaseMs: 1000}})
	g.Expect(s.Drain()).To(HaveLen(2))
	s.Step(now, Update{Update: &pb.ConfigUpdate{Base: 3, Revision: 4, Confirmed: true, LeaseMs: 1000}})
	g.Expect(s.Drain()).To(Equal([]SubscriberOutput{Attach{Replica: "a", FromRevision: 2}}))
	s.Step(now, Update{Update: &pb.ConfigUpdate{Base: 0, Revision: 1, Snapshot: true}})
	g.Expect(s.Revision()).To(BeEquivalentTo(2))
	g.Expect(config.CheckUpdate(2, &pb.ConfigUpdate{Base: 1, Revision: 2})).To(Equal(config.Stale))
}

func TestPublisherShowsTheRevisionInForceAtEachDaemon(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(6, 1, 4)
	c.run(time.Second)
	c.accept(c.nextChange(0))
	c.run(time.Second)
	shown := c.replicas[0].publisher.Daemons()
	g.Expect(shown).To(HaveLen(4))
	for _, d := range shown {
		g.Expect(d.GetRevision()).To(BeEquivalentTo(1))
	}
	c.disconnect(c.daemons[0])
	c.daemons = c.daemons[1:]
	c.run(daemonRetention + time.Second)
	g.Expect(c.replicas[0].publisher.Daemons()).To(HaveLen(3))
}
