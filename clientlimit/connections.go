package clientlimit

import (
	"container/list"
	"time"
)

// ConnectionID identifies a connection of a Limiter. Zero is none.
type ConnectionID uint64

// connection is an open connection.
type connection struct {
	// quiet is the element of the connection in Limiter.quiet while no request is in service.
	quiet   *list.Element
	evicted bool
}

// Limiter decides what the clients of a daemon may hold. It is not safe for concurrent use.
type Limiter struct {
	limits Limits

	requests    map[RequestID]*request
	lastRequest RequestID
	// heldBytes is the memory of all requests, evictedBytes that of those evicted among them.
	heldBytes    int64
	evictedBytes int64
	// waiting lists the requests that wait for memory in order, waitingBytes is what they wait for.
	waiting      []RequestID
	waitingBytes int64

	connections    map[ConnectionID]*connection
	lastConnection ConnectionID
	// quiet lists the connections without a request in service that are not evicted: idle, or with
	// the head of a request unfinished. The one that has been so for longest is first.
	quiet              *list.List
	evictedConnections int
}

// New returns an empty limiter.
func New(limits Limits) *Limiter {
	return &Limiter{
		limits: limits, requests: make(map[RequestID]*request),
		connections: make(map[ConnectionID]*connection), quiet: list.New(),
	}
}

// Limits returns the limits.
func (l *Limiter) Limits() Limits { return l.limits }

// Eviction is a connection to close, or a request to end with its connection. One of them is zero.
type Eviction struct {
	Connection ConnectionID
	Request    RequestID
}

// Connect adds a connection, which is quiet. It returns what is to be evicted for it, and false if
// there is no room: then the connection is not added and must be closed.
func (l *Limiter) Connect(now time.Time) (ConnectionID, *Eviction, bool) {
	var eviction *Eviction
	if len(l.connections)-l.evictedConnections >= l.limits.Connections-l.limits.connectionMargin() {
		eviction = l.evictConnection(now)
	}
	if len(l.connections) >= l.limits.Connections {
		return 0, eviction, false
	}
	l.lastConnection++
	id := l.lastConnection
	l.connections[id] = &connection{quiet: l.quiet.PushBack(id)}
	return id, eviction, true
}

func (l *Limiter) evictConnection(now time.Time) *Eviction {
	if first := l.quiet.Front(); first != nil {
		id := first.Value.(ConnectionID)
		l.markEvicted(id)
		return &Eviction{Connection: id}
	}
	for _, id := range l.behind(now, l.limits.EvictableLag) {
		connection := l.requests[id].connection
		if c := l.connections[connection]; c != nil && !c.evicted {
			l.evict(id)
			l.markEvicted(connection)
			return &Eviction{Request: id}
		}
	}
	return nil
}

func (l *Limiter) markEvicted(id ConnectionID) {
	c := l.connections[id]
	l.leaveQuiet(c)
	c.evicted = true
	l.evictedConnections++
}

func (l *Limiter) leaveQuiet(c *connection) {
	if c.quiet != nil {
		l.quiet.Remove(c.quiet)
		c.quiet = nil
	}
}

// Serve records that a request on a connection is in service. It returns false if the connection
// has been evicted.
func (l *Limiter) Serve(id ConnectionID) bool {
	c := l.connections[id]
	if c == nil || c.evicted {
		return false
	}
	l.leaveQuiet(c)
	return true
}

// Quiet records that a connection waits for a request, or for the rest of its head, from now on.
func (l *Limiter) Quiet(id ConnectionID) {
	c := l.connections[id]
	if c == nil || c.evicted {
		return
	}
	l.leaveQuiet(c)
	c.quiet = l.quiet.PushBack(id)
}

// Close forgets a connection.
func (l *Limiter) Close(id ConnectionID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	l.leaveQuiet(c)
	if c.evicted {
		l.evictedConnections--
	}
	delete(l.connections, id)
}

// Connections returns the number of open connections.
func (l *Limiter) Connections() int { return len(l.connections) }
