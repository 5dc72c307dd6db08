package clientlimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

var testLimits = Limits{
	MemoryBytes: 1000, ReservedBytes: 200, SmallBytes: 50, Connections: 32,
	MinBytesPerSecond: 10, EvictableLag: time.Second, MaxLag: 30 * time.Second,
}

func grown(expect *WithT, l *Limiter, now time.Time, bytes int64) RequestID {
	id := l.Begin(now, 0)
	grant, evicted := l.Grow(now, id, bytes)
	expect.Expect(grant).To(Equal(Granted))
	expect.Expect(evicted).To(BeEmpty())
	return id
}

func TestReserveIsLeftToSmallRequests(t *testing.T) {
	expect := NewWithT(t)
	l := New(testLimits)
	grown(expect, l, start, 800)
	large, small := l.Begin(start, 0), l.Begin(start, 0)
	grant, _ := l.Grow(start, large, 51)
	expect.Expect(grant).To(Equal(Refused))
	grant, _ = l.Grow(start, small, 50)
	expect.Expect(grant).To(Equal(Granted))
	grant, _ = l.Grow(start, small, 1)
	expect.Expect(grant).To(Equal(Refused), "a request is no longer small once it holds more")
}

func TestStalledRequestIsEvictedForAnotherThatThenWaits(t *testing.T) {
	expect := NewWithT(t)
	l := New(testLimits)
	stalled := grown(expect, l, start, 700)
	later := start.Add(2 * time.Second)
	active := grown(expect, l, later, 100)
	id := l.Begin(later, 0)
	grant, evicted := l.Grow(later, id, 300)
	expect.Expect(grant).To(Equal(Waiting))
	expect.Expect(evicted).To(Equal([]RequestID{stalled}))
	expect.Expect(l.HeldBytes()).To(Equal(int64(800)), "the memory counts until the evicted request has ended")
	expect.Expect(l.Complete(stalled)).To(BeFalse())
	expect.Expect(l.Complete(active)).To(BeTrue())
	expect.Expect(l.End(stalled)).To(Equal([]RequestID{id}))
	expect.Expect(l.HeldBytes()).To(Equal(int64(400)))
}

func TestBodyInSteadyProgressIsNeverBehind(t *testing.T) {
	expect := NewWithT(t)
	l := New(testLimits)
	now := start
	id := l.Begin(now, 0)
	for range 600 {
		now = now.Add(500 * time.Millisecond)
		l.Receive(now, id, 5)
		expect.Expect(l.EvictBehind(now)).To(BeEmpty())
	}
}

// Bytes above the minimum rate earn no pause: a body that has almost arrived may not stay.
func TestFastBodyThatStopsIsOverdueAfterTheMaximumLag(t *testing.T) {
	expect := NewWithT(t)
	l := New(testLimits)
	id := grown(expect, l, start, 700)
	l.Receive(start, id, 700)
	expect.Expect(l.EvictOverdue(start.Add(29 * time.Second))).To(BeEmpty())
	// A byte now and then is below the rate.
	l.Receive(start.Add(29*time.Second), id, 1)
	expect.Expect(l.EvictOverdue(start.Add(31 * time.Second))).To(Equal([]RequestID{id}))
}

func TestOldestQuietConnectionIsClosedForANewOne(t *testing.T) {
	expect := NewWithT(t)
	l := New(testLimits)
	var ids []ConnectionID
	for range 30 {
		id, eviction, ok := l.Connect(start)
		expect.Expect(ok).To(BeTrue())
		expect.Expect(eviction).To(BeNil())
		ids = append(ids, id)
	}
	expect.Expect(l.Serve(ids[0])).To(BeTrue())
	l.Quiet(ids[1])
	_, eviction, ok := l.Connect(start)
	expect.Expect(ok).To(BeTrue())
	expect.Expect(eviction).To(Equal(&Eviction{Connection: ids[2]}))
	expect.Expect(l.Serve(ids[2])).To(BeFalse(), "a request on an evicted connection is not begun")
}

func TestConnectionInServiceIsClosedOnlyForItsStalledBody(t *testing.T) {
	expect := NewWithT(t)
	l := New(testLimits)
	var requests []RequestID
	for range 30 {
		id, _, _ := l.Connect(start)
		l.Serve(id)
		requests = append(requests, l.Begin(start, id))
	}
	for _, id := range requests[1:] {
		l.Complete(id)
	}
	later := start.Add(time.Second)
	_, eviction, ok := l.Connect(later)
	expect.Expect(ok).To(BeTrue())
	expect.Expect(eviction).To(Equal(&Eviction{Request: requests[0]}))
	id, eviction, ok := l.Connect(later)
	expect.Expect(ok).To(BeTrue())
	expect.Expect(eviction).To(Equal(&Eviction{Connection: id - 1}))
}

func TestLimitsThatServeNothingAreRejected(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect(testLimits.Check()).To(Succeed())
	for _, change := range []func(*Limits){
		func(l *Limits) { l.MemoryBytes = l.ReservedBytes },
		func(l *Limits) { l.ReservedBytes = l.SmallBytes - 1 },
		func(l *Limits) { l.SmallBytes = 0 },
		func(l *Limits) { l.Connections = 0 },
		func(l *Limits) { l.MinBytesPerSecond = 0 },
		func(l *Limits) { l.EvictableLag = 0 },
		func(l *Limits) { l.MaxLag = l.EvictableLag - 1 },
	} {
		limits := testLimits
		change(&limits)
		expect.Expect(limits.Check()).NotTo(Succeed())
	}
}
