package e2e

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/briarcross/briarcross/devd"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

const (
	waitLimit = 60 * time.Second
	pollTime  = 50 * time.Millisecond
	voters    = 3
	entries   = 2
	portsEach = 32
)

// portLock keeps parallel tests from choosing the same ports.
var portLock sync.Mutex

var nextBase = 20000

func basePort() int {
	portLock.Lock()
	defer portLock.Unlock()
	base := devd.FreeBasePortFrom(nextBase, portsEach)
	nextBase = base + portsEach
	return base
}

// fleet is an installation of separate processes before fake engines.
type fleet struct {
	t        *testing.T
	folder   string
	base     int
	spares   int
	control  []*process
	entry    []*process
	sidecar  []*process
	engines  []*labengine.Server
	sidecars int
}

// options sets the size of a fleet.
type options struct {
	spares   int
	sidecars int
	cost     labengine.CostModel
}

// startFleet starts control replicas, spares, sidecars and entries, applies the
// configuration and waits until everything is ready.
func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), base: basePort(), spares: o.spares, sidecars: o.sidecars}
	for i := range voters + o.spares {
		f.control = append(f.control, newProcess(t, f.folder, fmt.Sprintf("c%d", i+1), f.controlArgs(i)...))
	}
	for i := range o.sidecars {
		f.startEngine(i, o.cost)
		f.sidecar = append(f.sidecar, newProcess(t, f.folder, fmt.Sprintf("s%d", i+1), f.sidecarArgs(i)...))
	}
	for i := range entries {
		f.entry = append(f.entry, newProcess(t, f.folder, fmt.Sprintf("e%d", i+1), f.entryArgs(i)...))
	}
	f.apply(configuration)
	f.awaitServing()
	return f
}

// The offsets of the ports of each kind of daemon.
const (
	offsetControl = 4 * iota
	offsetControlHTTP
	offsetEntry
	offsetEntryHTTP
	offsetSidecar
	offsetSidecarHTTP
	offsetEngine
)

func (f *fleet) address(offset, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", f.base+offset+i)
}

func dataCentre(i int) string {
	return [...]string{"lulea", "boden", "kiruna"}[i%voters]
}

func (f *fleet) replicaList(from, to int) string {
	var items []string
	for i := from; i < to; i++ {
		items = append(items, fmt.Sprintf("c%d@%s@%s", i+1, f.address(offsetControl, i), dataCentre(i)))
	}
	return strings.Join(items, ",")
}

func (f *fleet) list(offset, count int) string {
	var items []string
	for i := range count {
		items = append(items, f.address(offset, i))
	}
	return strings.Join(items, ",")
}

func (f *fleet) dataFolder(i int) string {
	return filepath.Join(f.folder, fmt.Sprintf("data-c%d", i+1))
}

func (f *fleet) controlArgs(i int) []string {
	args := []string{
		"control", "-id", fmt.Sprintf("c%d", i+1), "-data-centre", dataCentre(i),
		"-listen", f.address(offsetControl, i), "-http", f.address(offsetControlHTTP, i),
		"-data", f.dataFolder(i), "-tick", "20ms", "-repair-after", "3s",
		"-lease-time", "2s", "-poll-time", "100ms", "-placement-settle", "1s",
		"-replicas", f.replicaList(0, voters),
	}
	if f.spares > 0 {
		args = append(args, "-spares", f.replicaList(voters, voters+f.spares))
	}
	if i >= voters {
		args = append(args, "-join")
	}
	return args
}

func (f *fleet) sidecarArgs(i int) []string {
	return []string{
		"sidecar", "-id", fmt.Sprintf("s%d", i+1), "-data-centre", dataCentre(i),
		"-listen", f.address(offsetSidecar, i), "-http", f.address(offsetSidecarHTTP, i),
		"-engine", "http://" + f.address(offsetEngine, i), "-services", "dam-watch,once",
		"-control", f.list(offsetControl, voters+f.spares), "-registrars", f.list(offsetEntry, entries),
	}
}

func (f *fleet) entryArgs(i int) []string {
	return []string{
		"entry", "-id", fmt.Sprintf("e%d", i+1), "-data-centre", dataCentre(i),
		"-listen", f.address(offsetEntry, i), "-http", f.address(offsetEntryHTTP, i),
		"-control", f.list(offsetControl, voters+f.spares), "-registrars", f.list(offsetEntry, entries),
		"-balancer-wait", "200ms",
	}
}

func (f *fleet) startEngine(i int, cost labengine.CostModel) {
	f.t.Helper()
	listener, err := net.Listen("tcp", f.address(offsetEngine, i))
	if err != nil {
		f.t.Fatal(err)
	}
	engine := labengine.NewServer(labengine.Options{
		ID:            fmt.Sprintf("engine-%d", i+1),
		Seed:          uint64(i),
		Cost:          cost,
		Models:        []string{"dam-watch"},
		Version:       "1",
		ChecksFencing: i%2 == 0,
	})
	go func() { _ = engine.Serve(listener) }()
	f.t.Cleanup(func() { _ = engine.Close() })
	f.engines = append(f.engines, engine)
}

func (f *fleet) controlURL(i int) string { return "http://" + f.address(offsetControlHTTP, i) }

func (f *fleet) entryURL(i int) string { return "http://" + f.address(offsetEntryHTTP, i) }

func (f *fleet) sidecarURL(i int) string { return "http://" + f.address(offsetSidecarHTTP, i) }

// await polls a condition; a test fails when it does not hold within the limit.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	ticker := time.NewTicker(pollTime)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-limit.C:
			f.t.Fatalf("timeout while waiting until %s", what)
		case <-ticker.C:
		}
	}
}

// apply changes the configuration through whichever replica answers, and
// returns the accepted revision.
func (f *fleet) apply(text string) uint64 {
	f.t.Helper()
	var revision uint64
	f.await("the configuration is accepted", func() bool {
		for i, p := range f.control {
			if p.frozen.Load() {
				continue
			}
			accepted, err := operator.NewClient(f.controlURL(i)).Apply("test.yaml", []byte(text), "test")
			if err == nil {
				revision = accepted
				return true
			}
		}
		return false
	})
	return revision
}

// status returns the state of the group from whichever replica confirms it.
func (f *fleet) status() *pb.StatusAnswer {
	f.t.Helper()
	var status *pb.StatusAnswer
	f.await("a replica answers", func() bool {
		for i, p := range f.control {
			if p.frozen.Load() {
				continue
			}
			answer, err := operator.NewClient(f.controlURL(i)).Status()
			if err == nil && !answer.GetStale() && answer.GetLeader() != "" {
				status = answer
				return true
			}
		}
		return false
	})
	return status
}

// leader returns the process that leads.
func (f *fleet) leader() *process {
	f.t.Helper()
	id := f.status().GetLeader()
	for _, p := range f.control {
		if p.name == id {
			return p
		}
	}
	f.t.Fatalf("no process %s", id)
	return nil
}

// awaitInForce waits until every entry and sidecar has a revision in force.
func (f *fleet) awaitInForce(revision uint64, daemons int) {
	f.t.Helper()
	begin := time.Now()
	defer func() { f.t.Logf("revision %d in force after %v", revision, time.Since(begin)) }()
	f.await(fmt.Sprintf("revision %d is in force on %d daemons", revision, daemons), func() bool {
		seen := make(map[string]bool)
		for _, daemon := range f.status().GetDaemons() {
			if daemon.GetRevision() >= revision {
				seen[daemon.GetDaemon()] = true
			}
		}
		return len(seen) >= daemons
	})
}

func (f *fleet) awaitServing() {
	f.t.Helper()
	for i := range f.entry {
		f.await("an entry knows every upstream", func() bool { return f.members(i) == f.sidecars })
		f.await("an entry answers", func() bool {
			_, err := f.complete(i, "warm up", 1)
			return err == nil
		})
	}
}

// members returns how many upstreams an entry knows, from its metrics.
func (f *fleet) members(entry int) int {
	response, err := http.Get(f.entryURL(entry) + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if count, ok := strings.CutPrefix(scanner.Text(), "briarcross_entry_members "); ok {
			n, _ := strconv.Atoi(count)
			return n
		}
	}
	return 0
}

func (f *fleet) wipe(i int) {
	f.t.Helper()
	if err := os.RemoveAll(f.dataFolder(i)); err != nil {
		f.t.Fatal(err)
	}
}

const configuration = `kind: Profile
name: inspector
schemaVersion: 1
spec:
  class: online
  firstToken: 2s
  betweenTokens: 500ms
  due: 60s
  queue: 5s
  idempotent: true
  maxAttempts: 4
  retryBudgetPermille: 500
---
kind: Profile
name: crew-call
schemaVersion: 1
spec:
  class: online
  firstToken: 2s
  betweenTokens: 500ms
  due: 60s
  queue: 5s
  idempotent: false
  maxAttempts: 4
---
kind: Profile
name: risk-brief
schemaVersion: 1
spec:
  class: batch
  due: 8h
  maxAttempts: 5
  idempotent: true
---
kind: Profile
name: crew-brief
schemaVersion: 1
spec:
  class: batch
  due: 8h
  maxAttempts: 5
  idempotent: false
---
kind: Service
name: dam-watch
schemaVersion: 1
spec:
  kind: model
  profile: inspector
  batchProfile: risk-brief
  model: dam-watch
---
kind: Service
name: once
schemaVersion: 1
spec:
  kind: model
  profile: crew-call
  batchProfile: crew-brief
  model: dam-watch
`
