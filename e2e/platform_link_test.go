package e2e

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// linkMode is what a link does to the traffic to one daemon.
type linkMode int32

const (
	linkOpen linkMode = iota
	// linkSlow delays what goes in.
	linkSlow
	// linkDeaf drops what goes in and passes what comes out.
	linkDeaf
	// linkSilent drops both, and keeps the connections open.
	linkSilent
	linkModes
)

// linkDelay is the delay of a slow link.
const linkDelay = 60 * time.Millisecond

// link is a proxy in front of the inner address of a daemon, for TCP and UDP.
type link struct {
	target string
	mode   atomic.Int32
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

func startLink(t *testing.T, address, target string) *link {
	t.Helper()
	l := &link{target: target, conns: make(map[net.Conn]struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	go l.accept(listener)
	go l.passDatagrams(datagrams)
	t.Cleanup(func() {
		_ = listener.Close()
		_ = datagrams.Close()
		l.reset()
	})
	return l
}

func (l *link) set(m linkMode) { l.mode.Store(int32(m)) }

// reset closes all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *link) track(conn net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.conns[conn] = struct{}{}
		return
	}
	delete(l.conns, conn)
	_ = conn.Close()
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.track(conn, true)
		go l.pass(conn)
	}
}

func (l *link) pass(conn net.Conn) {
	defer l.track(conn, false)
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.track(target, true)
	defer l.track(target, false)
	done := make(chan struct{}, 2)
	go func() {
		l.copy(target, conn, true)
		done <- struct{}{}
	}()
	go func() {
		l.copy(conn, target, false)
		done <- struct{}{}
	}()
	<-done
}

// copy passes bytes on as the mode says. Dropped bytes break the stream, as a
// connection does whose packets are lost for good.
func (l *link) copy(to, from net.Conn, inward bool) {
	buffer := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := linkMode(l.mode.Load()); {
		case mode == linkSilent, mode == linkDeaf && inward:
			broken = true
		case mode == linkSlow && inward:
			pauseFor(context.Background(), linkDelay)
		}
		if broken {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) passDatagrams(source net.PacketConn) {
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
		if mode := linkMode(l.mode.Load()); mode == linkOpen || mode == linkSlow {
			// A refused datagram is a lost one.
			_, _ = target.Write(buffer[:n])
		}
	}
}

// pauseFor waits, at most until the context ends.
func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
