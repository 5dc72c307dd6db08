package e2e

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// daemonRun is the part of a daemon's life between two freezes. The process of a
// restarted daemon is another one.
type daemonRun struct {
	process       *process
	freezeChanges int32
}

// daemonTable holds all daemon processes that a fleet has started. Daemons don't name
// themselves to engines; their connections are found in /proc.
type daemonTable struct {
	mu        sync.Mutex
	processes []*process
}

func (d *daemonTable) add(p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
}

type daemonKey struct{}

// identify adds the daemon that has opened a connection to its context.
func (d *daemonTable) identify(ctx context.Context, conn net.Conn) context.Context {
	if p := d.ownerOf(conn); p != nil {
		return context.WithValue(ctx, daemonKey{}, p)
	}
	return ctx
}

// callingRun returns the daemon that sent a request. Its process is nil if it is
// unknown, as that of a connection that was closed at once.
func callingRun(r *http.Request) daemonRun {
	p, _ := r.Context().Value(daemonKey{}).(*process)
	if p == nil {
		return daemonRun{}
	}
	return daemonRun{p, p.freezeChanges.Load()}
}

// ownerOf returns the daemon whose process has opened a connection, or nil.
func (d *daemonTable) ownerOf(conn net.Conn) *process {
	inode := peerInode(conn)
	if inode == "" {
		return nil
	}
	d.mu.Lock()
	processes := append([]*process(nil), d.processes...)
	d.mu.Unlock()
	for _, p := range processes {
		paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.command.Process.Pid))
		if err != nil {
			return nil
		}
		for _, path := range paths {
			if link, err := os.Readlink(path); err == nil && link == "socket:["+inode+"]" {
				return p
			}
		}
	}
	return nil
}

// peerInode returns the inode of the socket at the other end of a connection within
// this machine, or "" if there is none.
func peerInode(conn net.Conn) string {
	sockets, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = sockets.Close() }()
	local, remote := kernelAddress(conn.RemoteAddr()), kernelAddress(conn.LocalAddr())
	for scanner := bufio.NewScanner(sockets); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); len(fields) > 9 && fields[1] == local && fields[2] == remote {
			return fields[9]
		}
	}
	return ""
}

// kernelAddress formats an IPv4 address as /proc/net/tcp does.
func kernelAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(tcp.IP.To4()), tcp.Port)
}

// leavingLedger records which daemons an engine has told in a response that it leaves,
// and the requests that they sent too late.
type leavingLedger struct {
	mu sync.Mutex
	// toldAt holds the time of the first such response of a start of the engine.
	toldAt map[int64]map[daemonRun]time.Time
	late   []string
	// unknownCount counts the requests of unknown daemons.
	unknownCount int
}

// recordAnswer records a complete response that says that the engine leaves.
func (l *leavingLedger) recordAnswer(startUnixMs int64, run daemonRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.toldAt == nil {
		l.toldAt = make(map[int64]map[daemonRun]time.Time)
	}
	if l.toldAt[startUnixMs] == nil {
		l.toldAt[startUnixMs] = make(map[daemonRun]time.Time)
	}
	if _, told := l.toldAt[startUnixMs][run]; run.process != nil && !told {
		l.toldAt[startUnixMs][run] = time.Now()
	}
}

// checkRequest records a request as late if its daemon was told longer than
// drainTimeout ago that this start of the engine leaves.
func (l *leavingLedger) checkRequest(startUnixMs int64, run daemonRun, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.process == nil {
		l.unknownCount++
	}
	if at, told := l.toldAt[startUnixMs][run]; told && time.Since(at) > drainTimeout {
		l.late = append(l.late, fmt.Sprintf("%s from %s, %v after", id, run.process.name, time.Since(at).Round(time.Millisecond)))
	}
}

// toldRuns returns the number of daemons that were told, and those of them with a
// prefix in their names.
func (l *leavingLedger) toldRuns(prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, runs := range l.toldAt {
		for run := range runs {
			if strings.HasPrefix(run.process.name, prefix) {
				count++
			}
		}
	}
	return count
}

func (l *leavingLedger) unknownRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unknownCount
}

func (l *leavingLedger) lateRequests() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.late...)
}

// leave lets the engine say in its responses that it leaves. Its heartbeats end, or go
// on to report that it is ready.
func (e *fakeEngine) leave(silent bool) {
	e.silent.Store(silent)
	e.leaving.Store(true)
}

// startAgain lets the engine appear as a new start that stays.
func (e *fakeEngine) startAgain() {
	e.leaving.Store(false)
	e.limit.closePeriod()
	e.startUnixMs.Store(time.Now().UnixMilli())
	e.silent.Store(false)
}

// cutOffControl cuts all other daemons off from control. Engines still reach it.
func (f *platformFleet) cutOffControl() {
	for _, n := range f.controls {
		n.proxy.setMode(dropAll)
		n.proxy.closeConnections()
	}
}

func TestEntryCutOffFromControlSendsNothingToAnEngineThatLeaves(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startPlatformFleet(t, 1, 3, true)
	f.cutOffControl()
	leaves := f.engines[0]
	leaves.leave(true)
	sent := 0
	send := func() streamResponse {
		sent++
		return f.sendRequest(f.entries[0], "/resumable/", "l-"+strconv.Itoa(sent))
	}
	f.await("the entry passes on a response that says that the engine leaves", func() bool {
		send()
		return leaves.notices.toldRuns("entry-") > 0
	})
	for end := time.Now().Add(drainTimeout + 1500*time.Millisecond); time.Now().Before(end); {
		g.Expect(send().complete).To(BeTrue())
	}
	g.Expect(leaves.notices.lateRequests()).To(BeEmpty())
}

func TestStorageCutOffFromControlSendsNothingToAnEngineThatLeaves(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startPlatformFleet(t, 1, 3, true)
	const items = 6
	jobs := 0
	submit := func() {
		jobs++
		f.submitJob(f.entries[0], "job-"+strconv.Itoa(jobs), items)
		time.Sleep(200 * time.Millisecond)
	}
	// The engine that leaves is the one that gets the items: most run in the data
	// centre of the leader.
	for _, e := range f.engines {
		e.runCount.Store(0)
	}
	for range 3 {
		submit()
	}
	f.awaitResults("job-"+strconv.Itoa(jobs), items)
	leaves := slices.MaxFunc(f.engines, func(a, b *fakeEngine) int { return cmp.Compare(a.runCount.Load(), b.runCount.Load()) })
	f.cutOffControl()
	leaves.leave(true)
	f.await("a storage daemon gets a response that says that the engine leaves", func() bool {
		submit()
		return leaves.notices.toldRuns("store-") > 0
	})
	for end := time.Now().Add(drainTimeout + 1500*time.Millisecond); time.Now().Before(end); {
		submit()
	}
	g.Expect(leaves.notices.lateRequests()).To(BeEmpty())
	f.awaitResults("job-"+strconv.Itoa(jobs), items)
}
