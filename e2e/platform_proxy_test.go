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
	p := &proxy{target: target, conns: make(map[net.Conn]struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	go p.acceptConnections(listener)
	go p.forwardDatagrams(datagrams)
	t.Cleanup(func() {
		_ = listener.Close()
		_ = datagrams.Close()
		p.closeConnections()
	})
	return p
}

func (p *proxy) setMode(m proxyMode) { p.mode.Store(int32(m)) }

// closeConnections closes all open TCP connections.
func (p *proxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *proxy) trackConnection(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = struct{}{}
		return
	}
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *proxy) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.trackConnection(conn, true)
		go p.forwardConnection(conn)
	}
}

func (p *proxy) forwardConnection(conn net.Conn) {
	defer p.trackConnection(conn, false)
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.trackConnection(target, true)
	defer p.trackConnection(target, false)
	done := make(chan struct{}, 2)
	go func() {
		p.forwardBytes(target, conn, true)
		done <- struct{}{}
	}()
	go func() {
		p.forwardBytes(conn, target, false)
		done <- struct{}{}
	}()
	<-done
}

// forwardBytes copies data from one connection to another as the mode requires.
// Once data was dropped, it forwards nothing more in that direction, as TCP does
// when packets are lost for good.
func (p *proxy) forwardBytes(to, from net.Conn, inbound bool) {
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := proxyMode(p.mode.Load()); {
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

func (p *proxy) forwardDatagrams(source net.PacketConn) {
	target, err := net.Dial("udp", p.target)
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
		if mode := proxyMode(p.mode.Load()); mode == forwardAll || mode == delayInbound {
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
