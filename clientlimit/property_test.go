package clientlimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// client is a request as its host sees it.
type client struct {
	held, waiting int64
	complete      bool
	evicted       bool
	heardAt       time.Time
}

// hostModel drives a limiter in any order as a host may, and keeps what it was told.
type hostModel struct {
	limiter *Limiter
	now     time.Time
	clients map[RequestID]*client
	// conns holds, by connection, whether a request is in service; closing lists those evicted.
	conns   map[ConnectionID]bool
	closing map[ConnectionID]bool
}

func newHostModel(limits Limits) *hostModel {
	return &hostModel{
		limiter: New(limits), now: start, clients: make(map[RequestID]*client),
		conns: make(map[ConnectionID]bool), closing: make(map[ConnectionID]bool),
	}
}

func (h *hostModel) pick(t *rapid.T) (RequestID, *client) {
	var ids []RequestID
	for id := range h.clients {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("no request")
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "request")
	return id, h.clients[id]
}

func (h *hostModel) pickConnection(t *rapid.T) ConnectionID {
	var ids []ConnectionID
	for id := range h.conns {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("no connection")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "connection")
}

func (h *hostModel) recordEvicted(t *rapid.T, ids []RequestID) {
	for _, id := range ids {
		c := h.clients[id]
		if c.complete || c.evicted || c.waiting > 0 {
			t.Fatalf("request %d was evicted: %+v", id, *c)
		}
		if h.now.Sub(c.heardAt) < h.limiter.limits.EvictableLag {
			t.Fatalf("request %d was evicted %v after its last bytes", id, h.now.Sub(c.heardAt))
		}
		c.evicted = true
	}
}

func (h *hostModel) recordGranted(t *rapid.T, ids []RequestID) {
	for _, id := range ids {
		c := h.clients[id]
		if c.waiting == 0 {
			t.Fatalf("request %d was granted memory that it does not wait for", id)
		}
		c.held, c.waiting = c.held+c.waiting, 0
	}
}

func (h *hostModel) requestActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": h.check,
		"wait": func(t *rapid.T) {
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"begin": func(*rapid.T) { h.clients[h.limiter.Begin(h.now, 0)] = &client{heardAt: h.now} },
		"grow":  h.grow,
		"receive": func(t *rapid.T) {
			id, c := h.pick(t)
			h.limiter.Receive(h.now, id, 100_000)
			c.heardAt = h.now
		},
		"complete": func(t *rapid.T) {
			id, c := h.pick(t)
			if h.limiter.Complete(id) == c.evicted {
				t.Fatalf("request %d: evicted %v, but it could be completed or not", id, c.evicted)
			}
			c.complete = !c.evicted
		},
		"shrink": func(t *rapid.T) {
			id, c := h.pick(t)
			bytes := rapid.Int64Range(0, max(0, c.held)).Draw(t, "bytes")
			c.held -= bytes
			h.recordGranted(t, h.limiter.Shrink(id, bytes))
		},
		"cancel": func(t *rapid.T) {
			id, c := h.pick(t)
			cancelled, granted := h.limiter.Cancel(id)
			if cancelled != (c.waiting > 0) {
				t.Fatalf("request %d waits for %d bytes, cancelled %v", id, c.waiting, cancelled)
			}
			c.waiting = 0
			h.recordGranted(t, granted)
		},
		"end": func(t *rapid.T) {
			id, c := h.pick(t)
			c.waiting = 0
			granted := h.limiter.End(id)
			delete(h.clients, id)
			h.recordGranted(t, granted)
		},
		"evict overdue": func(t *rapid.T) { h.recordEvicted(t, h.limiter.EvictOverdue(h.now)) },
		"evict behind":  func(t *rapid.T) { h.recordEvicted(t, h.limiter.EvictBehind(h.now)) },
	}
}

func (h *hostModel) connectionActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        h.check,
		"connect": h.connect,
		"serve": func(t *rapid.T) {
			id := h.pickConnection(t)
			if h.limiter.Serve(id) == h.closing[id] {
				t.Fatalf("connection %d: evicted %v, but a request on it is served or not", id, h.closing[id])
			}
			h.conns[id] = !h.closing[id]
		},
		"quiet": func(t *rapid.T) {
			id := h.pickConnection(t)
			h.limiter.Quiet(id)
			h.conns[id] = false
		},
		"close": func(t *rapid.T) {
			id := h.pickConnection(t)
			h.limiter.Close(id)
			delete(h.conns, id)
			delete(h.closing, id)
		},
	}
}

func (h *hostModel) grow(t *rapid.T) {
	id, c := h.pick(t)
	if c.waiting > 0 {
		t.Skip("the request waits")
	}
	bytes := rapid.Int64Range(0, 600).Draw(t, "bytes")
	limits := h.limiter.limits
	small := c.held+bytes <= limits.SmallBytes
	total, waiting, stalled := int64(0), int64(0), int64(0)
	for other, o := range h.clients {
		total += o.held
		waiting += o.waiting
		if other != id && !o.complete && o.waiting == 0 && (o.evicted || h.now.Sub(o.heardAt) >= 60*time.Second) {
			stalled += o.held
		}
	}
	fits := h.limiter.Fits(h.now, id, bytes)
	grant, evicted := h.limiter.Grow(h.now, id, bytes)
	if bytes > 0 && fits == (grant == Refused) {
		t.Fatalf("%d bytes fit %v, but the grant is %v", bytes, fits, grant)
	}
	h.recordEvicted(t, evicted)
	limit := limits.MemoryBytes
	if !small {
		limit -= limits.ReservedBytes
	}
	room := limit - total - waiting
	switch {
	case c.evicted:
		if grant != Refused {
			t.Fatalf("an evicted request was granted memory")
		}
	case (bytes == 0 || bytes <= room) && grant != Granted:
		t.Fatalf("%d bytes were not granted although %d are free", bytes, room)
	case bytes <= room+stalled && grant == Refused:
		t.Fatalf("%d bytes were refused although %d are free and %d are stalled", bytes, room, stalled)
	case bytes > 0 && bytes > room && grant == Granted:
		t.Fatalf("%d bytes were granted although %d are free", bytes, room)
	}
	switch grant {
	case Granted:
		c.held += bytes
	case Waiting:
		c.waiting = bytes
		ending := int64(0)
		for _, o := range h.clients {
			if o.evicted {
				ending += o.held
			}
		}
		if bytes > room+ending {
			t.Fatalf("%d bytes are waited for although %d are free and %d are given up", bytes, room, ending)
		}
	}
}

func (h *hostModel) connect(t *rapid.T) {
	quiet := 0
	for id, serving := range h.conns {
		if !serving && !h.closing[id] {
			quiet++
		}
	}
	id, eviction, ok := h.limiter.Connect(h.now)
	if !ok && eviction == nil && quiet > 0 && len(h.closing) == 0 {
		t.Fatalf("a connection was refused, and none of %d that are quiet is closed", quiet)
	}
	if eviction != nil && eviction.Connection != 0 {
		serving, open := h.conns[eviction.Connection]
		if !open || serving || h.closing[eviction.Connection] {
			t.Fatalf("connection %d was evicted: open %v, serving %v", eviction.Connection, open, serving)
		}
		h.closing[eviction.Connection] = true
	}
	if !ok {
		if len(h.conns) < h.limiter.limits.Connections {
			t.Fatalf("a connection was refused beside %d others", len(h.conns))
		}
		return
	}
	h.conns[id] = false
}

func (h *hostModel) check(t *rapid.T) {
	limits := h.limiter.limits
	total, large := int64(0), int64(0)
	for _, c := range h.clients {
		total += c.held
		if c.held > limits.SmallBytes {
			large += c.held
		}
	}
	if total != h.limiter.HeldBytes() {
		t.Fatalf("requests hold %d bytes, the limiter counts %d", total, h.limiter.HeldBytes())
	}
	if total > limits.MemoryBytes || large > limits.MemoryBytes-limits.ReservedBytes {
		t.Fatalf("requests hold %d bytes, large ones %d", total, large)
	}
	if len(h.conns) != h.limiter.Connections() || len(h.conns) > limits.Connections {
		t.Fatalf("%d connections are open, the limiter counts %d", len(h.conns), h.limiter.Connections())
	}
}

// Whatever order clients come, stall, are refused, break off and end in: the limits hold, nothing
// is lost or given back twice, and only who may be evicted is.
func TestMemoryStaysWithinItsLimitInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits
		limits.MinBytesPerSecond = 1
		h := newHostModel(limits)
		t.Repeat(h.requestActions())
		for id := range h.clients {
			h.limiter.End(id)
		}
		if h.limiter.HeldBytes() != 0 || h.limiter.evictedBytes != 0 || h.limiter.waitingBytes != 0 || len(h.limiter.waiting) != 0 {
			t.Fatalf("after the end of all requests, %d bytes are held, %d evicted, %d waited for", h.limiter.HeldBytes(), h.limiter.evictedBytes, h.limiter.waitingBytes)
		}
	})
}

// Whatever order connections are opened, used and closed in: their limit holds, none with a request
// in service is closed for another, and a new one is refused only if no other can be closed.
func TestConnectionsStayWithinTheirLimitInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits
		limits.Connections = 6
		h := newHostModel(limits)
		t.Repeat(h.connectionActions())
	})
}
