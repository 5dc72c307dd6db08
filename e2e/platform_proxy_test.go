package e2e

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is the fault that a proxy applies to the traffic of its daemon.
// Inbound data is sent to the daemon.
type proxyMode int32

const (
	forwardAll proxyMode = iota
	// delayInbound delays inbound TCP data by inboundDelay.
	delayInbound
	// dropInbound drops inbound data and forwards outbound data.
	dropInbound
	// dropAll drops the data of both directions and keeps the connections open.
	dropAll
	proxyModeCount
)

// inboundDelay is the delay of each inbound read in the mode delayInbound.
const inboundDelay = 60 * time.Millisecond

// proxy forwards TCP and UDP from the internal address of a daemon to target, the
// address on which the daemon listens, and injects network faults.
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

// closeConnections closes all open TCP connections.
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

// forwardBytes copies data from one connection to another as the mode requires.
// Once data was dropped, it forwards nothing more in that direction, as TCP does
// when packets are lost for good.
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
			// A failed write is treated as the loss of the datagram.
			_, _ = target.Write(buffer[:n])
		}
	}
}

// sleepContext sleeps for a duration or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
