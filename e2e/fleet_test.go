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
	awaitTimeout  = 60 * time.Second
	pollInterval  = 50 * time.Millisecond
	voterCount    = 3
	entryCount    = 2
	portsPerFleet = 32
)

// basePortMu guards nextBasePort, so that parallel tests use different ports.
var basePortMu sync.Mutex

var nextBasePort = 20000

func reserveBasePort() int {
	basePortMu.Lock()
	defer basePortMu.Unlock()
	base := devd.FreeBasePortFrom(nextBasePort, portsPerFleet)
	nextBasePort = base + portsPerFleet
	return base
}

// fleet is an installation of separate daemon processes with fake engines, which
// run in the test process.
type fleet struct {
	t            *testing.T
	dir          string
	basePort     int
	spareCount   int
	controls     []*process
	entries      []*process
	sidecars     []*process
	engines      []*labengine.Server
	sidecarCount int
}

// fleetOptions sets the size of a fleet and the cost model of its engines.
type fleetOptions struct {
	spareCount   int
	sidecarCount int
	cost         labengine.CostModel
	// entryEnv is added to the environment variables of the entries.
	entryEnv []string
}

// startFleet starts control replicas, spares, sidecars and entries, applies
// testConfiguration and waits until every entry serves requests.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), basePort: reserveBasePort(), spareCount: o.spareCount, sidecarCount: o.sidecarCount}
	for i := range voterCount + o.spareCount {
		f.controls = append(f.controls, startDaemon(t, f.dir, fmt.Sprintf("c%d", i+1), f.controlArgs(i)...))
	}
	for i := range o.sidecarCount {
		f.startEngine(i, o.cost)
		f.sidecars = append(f.sidecars, startDaemon(t, f.dir, fmt.Sprintf("s%d", i+1), f.sidecarArgs(i)...))
	}
	for i := range entryCount {
		f.entries = append(f.entries, startDaemonWithEnv(t, f.dir, fmt.Sprintf("e%d", i+1), o.entryEnv, f.entryArgs(i)...))
	}
	f.apply(testConfiguration)
	f.awaitServing()
	return f
}

// Offsets of the first port of each kind of daemon from the base port.
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
	return fmt.Sprintf("127.0.0.1:%d", f.basePort+offset+i)
}

func dataCentre(i int) string {
	return [...]string{"lulea", "boden", "kiruna"}[i%voterCount]
}

func (f *fleet) replicaList(from, to int) string {
	var items []string
	for i := from; i < to; i++ {
		items = append(items, fmt.Sprintf("c%d@%s@%s", i+1, f.address(offsetControl, i), dataCentre(i)))
	}
	return strings.Join(items, ",")
}

func (f *fleet) addressList(offset, count int) string {
	var items []string
	for i := range count {
		items = append(items, f.address(offset, i))
	}
	return strings.Join(items, ",")
}

func (f *fleet) dataDir(i int) string {
	return filepath.Join(f.dir, fmt.Sprintf("data-c%d", i+1))
}

func (f *fleet) controlArgs(i int) []string {
	args := []string{
		"control", "-id", fmt.Sprintf("c%d", i+1), "-data-centre", dataCentre(i),
		"-listen", f.address(offsetControl, i), "-http", f.address(offsetControlHTTP, i),
		"-data", f.dataDir(i), "-tick", "20ms", "-repair-after", "3s",
		"-lease-time", "2s", "-poll-time", "100ms", "-placement-settle", "1s",
		"-replicas", f.replicaList(0, voterCount),
	}
	if f.spareCount > 0 {
		args = append(args, "-spares", f.replicaList(voterCount, voterCount+f.spareCount))
	}
	if i >= voterCount {
		args = append(args, "-join")
	}
	return args
}

func (f *fleet) sidecarArgs(i int) []string {
	return []string{
		"sidecar", "-id", fmt.Sprintf("s%d", i+1), "-data-centre", dataCentre(i),
		"-listen", f.address(offsetSidecar, i), "-http", f.address(offsetSidecarHTTP, i),
		"-engine", "http://" + f.address(offsetEngine, i), "-services", "dam-watch,once",
		"-control", f.addressList(offsetControl, voterCount+f.spareCount), "-registrars", f.addressList(offsetEntry, entryCount),
	}
}

func (f *fleet) entryArgs(i int) []string {
	return []string{
		"entry", "-id", fmt.Sprintf("e%d", i+1), "-data-centre", dataCentre(i),
		"-listen", f.address(offsetEntry, i), "-http", f.address(offsetEntryHTTP, i),
		"-control", f.addressList(offsetControl, voterCount+f.spareCount), "-registrars", f.addressList(offsetEntry, entryCount),
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

// await polls a condition and fails the test if it is not met within
// awaitTimeout.
func (f *fleet) await(goal string, condition func() bool) {
	f.t.Helper()
	timeout := time.NewTimer(awaitTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-timeout.C:
			f.t.Fatalf("timeout while waiting until %s", goal)
		case <-ticker.C:
		}
	}
}

// apply submits a configuration to the replicas in turn until one accepts it, and
// returns the accepted revision.
func (f *fleet) apply(text string) uint64 {
	f.t.Helper()
	var revision uint64
	f.await("the configuration is accepted", func() bool {
		for i, p := range f.controls {
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

// status returns the state of the group from the first replica whose response is
// not stale and names a leader.
func (f *fleet) status() *pb.StatusAnswer {
	f.t.Helper()
	var status *pb.StatusAnswer
	f.await("a replica returns a current status", func() bool {
		for i, p := range f.controls {
			if p.frozen.Load() {
				continue
			}
			response, err := operator.NewClient(f.controlURL(i)).Status()
			if err == nil && !response.GetStale() && response.GetLeader() != "" {
				status = response
				return true
			}
		}
		return false
	})
	return status
}

// leader returns the process of the control leader.
func (f *fleet) leader() *process {
	f.t.Helper()
	id := f.status().GetLeader()
	for _, p := range f.controls {
		if p.name == id {
			return p
		}
	}
	f.t.Fatalf("the status names leader %q, which is no control process", id)
	return nil
}

// awaitRevisionInForce waits until a number of daemons (entries and sidecars)
// have a revision or a later one in force.
func (f *fleet) awaitRevisionInForce(revision uint64, daemons int) {
	f.t.Helper()
	start := time.Now()
	defer func() { f.t.Logf("revision %d in force after %v", revision, time.Since(start)) }()
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
	for i := range f.entries {
		f.await("an entry knows the upstreams of all sidecars", func() bool { return f.memberCount(i) == f.sidecarCount })
		f.await("an entry completes a request", func() bool {
			_, err := f.completeAndCheck(i, "warm up", 1)
			return err == nil
		})
	}
}

// memberCount returns the number of upstreams that an entry knows, from its
// metrics, or zero if they cannot be read.
func (f *fleet) memberCount(entry int) int {
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

func (f *fleet) removeData(i int) {
	f.t.Helper()
	if err := os.RemoveAll(f.dataDir(i)); err != nil {
		f.t.Fatal(err)
	}
}

const testConfiguration = `kind: Profile
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
