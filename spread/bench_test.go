package spread

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

// envelopeBytes returns the size of the envelope header of a control message.
func envelopeBytes() int {
	return proto.Size(&pb.Envelope{Header: &pb.Header{
		Sender:         "sidecar-0001",
		Incarnation:    1_700_000_000_000,
		Receiver:       "control-1",
		ConfigRevision: 500,
	}})
}

// BenchmarkInForce measures the number of 100 ms ticks and the bytes until a
// change is in force on every daemon.
func BenchmarkInForce(b *testing.B) {
	for _, daemons := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			c := newCluster(1, 3, daemons)
			c.run(3 * time.Second)
			ticks, bytes := 0, 0
			for b.Loop() {
				c.bytes, c.messages = 0, 0
				c.accept(c.nextChange(0))
				for c.daemonsUpToDate() < daemons {
					c.run(tick)
					ticks++
				}
				bytes += c.bytes + c.messages*envelopeBytes()
			}
			b.ReportMetric(float64(ticks)/float64(b.N), "ticks/change")
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(daemons), "bytes/change/daemon")
		})
	}
}

// BenchmarkIdle measures the bytes of heartbeats and reports without changes.
func BenchmarkIdle(b *testing.B) {
	const daemons = 100
	c := newCluster(1, 3, daemons)
	c.run(30 * time.Second)
	c.bytes, c.messages = 0, 0
	seconds := 0
	for b.Loop() {
		c.run(10 * time.Second)
		seconds += 10
	}
	perDaemon := float64(seconds) * daemons
	b.ReportMetric(float64(c.bytes)/perDaemon, "payload-bytes/s/daemon")
	b.ReportMetric(float64(c.bytes+c.messages*envelopeBytes())/perDaemon, "bytes/s/daemon")
	b.ReportMetric(float64(c.messages)/perDaemon, "messages/s/daemon")
}

// BenchmarkMove measures the number of 100 ms ticks until the daemons of a
// partitioned replica have switched to another one and have a change in force.
func BenchmarkMove(b *testing.B) {
	const daemons = 100
	c := newCluster(1, 3, daemons)
	c.run(10 * time.Second)
	ticks := 0
	for b.Loop() {
		c.replicas[0].partitioned = true
		c.accept(c.nextChange(0))
		for c.daemonsUpToDate() < daemons {
			c.run(tick)
			ticks++
		}
		b.StopTimer()
		c.heal()
		for i := range c.daemons {
			c.restart(i)
		}
		c.run(10 * time.Second)
		b.StartTimer()
	}
	b.ReportMetric(float64(ticks)/float64(b.N), "ticks/cut")
}
