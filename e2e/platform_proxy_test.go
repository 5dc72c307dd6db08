package e2e

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is what a link does to the traffic to one daemon.
type proxyMode int32

const (
	forwardAll proxyMode = iota
	// delayInbound delays what goes in.
	delayInbound
	// dropInbound drops what goes in and passes what comes out.
	dropInbound
	// dropAll drops both, and keeps the connections open.
	dropAll
	proxyModeCount
)

// inboundDelay is the delay of a slow link.
const inboundDelay = 60 * time.Millisecond

// proxy is a proxy in front of the inner address of a daemon, for TCP and UDP.
type proxy struct {
	target string
	mode   atomic.Int32
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

func startProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	l := &proxy{target: target, conns: make(map[net.Conn]struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	go l.acceptConnections(listener)
	go l.forwardDatagrams(datagrams)
	t.Cleanup(func() {
		_ = listener.Close()
		_ = datagrams.Close()
		l.closeConnections()
	})
	return l
}

func (l *proxy) setMode(m proxyMode) { l.mode.Store(int32(m)) }

// closeConnections closes all connections.
func (l *proxy) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *proxy) trackConnection(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = struct{}{}
		return
	}
	delete(l.conns, conn)
	_ = conn.Close()
}

func (l *proxy) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.trackConnection(conn, true)
		go l.forwardConnection(conn)
	}
}

func (l *proxy) forwardConnection(conn net.Conn) {
	defer l.trackConnection(conn, false)
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.trackConnection(target, true)
	defer l.trackConnection(target, false)
	done := make(chan struct{}, 2)
	go func() {
		l.forwardBytes(target, conn, true)
		done <- struct{}{}
	}()
	go func() {
		l.forwardBytes(conn, target, false)
		done <- struct{}{}
	}()
	<-done
}

// forwardBytes passes bytes on as the mode says. Dropped bytes break the stream, as a
// connection does whose packets are lost for good.
func (l *proxy) forwardBytes(to, from net.Conn, inbound bool) {
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := proxyMode(l.mode.Load()); {
		case mode == dropAll, mode == dropInbound && inbound:
			dropping = true
		case mode == delayInbound && inbound:
			sleepContext(context.Background(), inboundDelay)
		}
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *proxy) forwardDatagrams(source net.PacketConn) {
	target, err := net.Dial("udp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := source.ReadFrom(buffer)
		if err != nil {
			return
		}
		if mode := proxyMode(l.mode.Load()); mode == forwardAll || mode == delayInbound {
			// A refused datagram is a lost one.
			_, _ = target.Write(buffer[:n])
		}
	}
}

// sleepContext waits, at most until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
