package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The fault soak runs the real daemons as separate processes, injects faults
// from outside and checks what callers, engines and operators see. It is
// seeded: the seed decides the faults and their order, not their exact moment.
const (
	faultSeedVariable    = "BRIARCROSS_FAULT_SEED"
	faultSecondsVariable = "BRIARCROSS_FAULT_SECONDS"
	// faultSeconds is the time of a run in CI.
	faultSeconds = 20
	soakEntries  = 2
	soakEngines  = 4
	soakItems    = 5
	// recoverTime is the time that a replica with an emptied disk gets before
	// the next one may lose something.
	recoverTime = 5 * time.Second
	// stopRunTime is the time in which the runs of an ended job stop.
	stopRunTime = 3 * time.Second
)

// faultSeedsOfOld are seeds that once failed, with the cause.
var faultSeedsOfOld = []uint64{}

func TestFaultSoak(t *testing.T) {
	seeds := append([]uint64{1}, faultSeedsOfOld...)
	if text := os.Getenv(faultSeedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []uint64{seed}
	}
	seconds := faultSeconds
	if text := os.Getenv(faultSecondsVariable); text != "" {
		var err error
		if seconds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("replay with %s=%d %s=%d", faultSeedVariable, seed, faultSecondsVariable, seconds)
			runSoak(t, seed, time.Duration(seconds)*time.Second)
		})
	}
}

// soakRun is one run with what its clients have seen.
type soakRun struct {
	*platformFleet
	rand *rand.Rand

	mu sync.Mutex
	// promised holds the requests that were answered with a promise that they
	// have not run and never will.
	promised []string
	// once holds the requests that may run once at most.
	once []string
	// jobs holds the accepted jobs, with the results seen at each position.
	jobs   map[string][]string
	ended  map[string]time.Time
	acked  int64
	served int
}

func runSoak(t *testing.T, seed uint64, duration time.Duration) {
	s := &soakRun{
		platformFleet: startPlatformFleet(t, soakEntries, soakEngines, true),
		rand:          rand.New(rand.NewPCG(seed, seed)),
		jobs:          make(map[string][]string),
		ended:         make(map[string]time.Time),
	}
	s.acked = s.version.Load()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() { s.callOnline(ctx, i) })
	}
	clients.Go(func() { s.callJobs(ctx) })
	clients.Go(func() { s.operate(ctx) })
	s.injectFaults(ctx)
	clients.Wait()
	s.heal()
	s.checkEnd()
}

// callOnline sends requests over a kept connection until the context ends.
func (s *soakRun) callOnline(ctx context.Context, caller int) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("o-%d-%d", caller, i)
		prefix := "/resumable/"
		if (caller+i)%2 == 0 {
			prefix = "/once/"
		}
		n := s.entry[(caller+i/20)%len(s.entry)]
		request, err := http.NewRequest(http.MethodPost, "http://"+n.front()+prefix+"x", strings.NewReader("prompt"))
		if err != nil {
			s.t.Error(err)
			return
		}
		request.Host = hostName
		request.Header.Set(headerID, id)
		request.Header.Set(headerTime, "4000")
		s.judge(id, prefix, s.send(client, request))
		pauseFor(ctx, 20*time.Millisecond)
	}
}

// judge checks an answer and keeps what it promises.
func (s *soakRun) judge(id, prefix string, got streamed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == "/once/" {
		s.once = append(s.once, id)
	}
	switch {
	case got.complete:
		s.served++
		if got.body != wholeStream(id) || !strings.HasSuffix(got.stamp, "."+id) {
			s.t.Errorf("%s got another answer: %q (%s)", id, got.body, got.stamp)
		}
	case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests:
		s.promised = append(s.promised, id)
	case got.status == http.StatusNotFound:
		s.t.Errorf("%s was answered 404 although its route is always there", id)
	}
}

// callJobs submits, reads and ends jobs until the context ends.
func (s *soakRun) callJobs(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		job := fmt.Sprintf("job-%d", i)
		for try := 0; ctx.Err() == nil; try++ {
			if s.submitJob(s.entry[try%len(s.entry)], job, soakItems) == http.StatusAccepted {
				s.mu.Lock()
				s.jobs[job] = nil
				s.mu.Unlock()
				break
			}
		}
		if i%5 == 4 {
			s.endJob(ctx, job)
		}
		for known := range s.jobsSeen() {
			s.readResults(s.entry[i%len(s.entry)], known)
		}
		pauseFor(ctx, 300*time.Millisecond)
	}
}

func (s *soakRun) jobsSeen() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]int, len(s.jobs))
	for job, results := range s.jobs {
		seen[job] = len(results)
	}
	return seen
}

func (s *soakRun) endJob(ctx context.Context, job string) {
	for try := 0; ctx.Err() == nil; try++ {
		if status, _ := s.jobCall(http.MethodDelete, s.entry[try%len(s.entry)], "/lots/"+job, job, ""); status == http.StatusOK {
			s.mu.Lock()
			s.ended[job] = time.Now()
			s.mu.Unlock()
			return
		}
	}
}

// readResults reads a job from its start and compares it with what was read
// before.
func (s *soakRun) readResults(n *platformNode, job string) int {
	status, page := s.readJob(n, job, 0)
	if status == http.StatusNotFound {
		s.t.Errorf("job %s was accepted and is not found", job)
	}
	if status != http.StatusOK {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.jobs[job]
	if len(page.Results) < len(seen) {
		s.t.Errorf("job %s had %d results and has %d", job, len(seen), len(page.Results))
	}
	ids := make(map[string]bool)
	for i, r := range page.Results {
		text := r.ID + " " + r.State + " " + r.Text
		if i < len(seen) && seen[i] != text {
			s.t.Errorf("job %s: position %d changed from %q to %q", job, i, seen[i], text)
		}
		if wrong := wrongResult(job, soakItems, r.ID, r.State, r.Text); wrong != "" || ids[r.ID] {
			s.t.Errorf("job %s, item %s: %s", job, r.ID, wrong)
		}
		ids[r.ID] = true
		if i >= len(seen) {
			seen = append(seen, text)
		}
	}
	s.jobs[job] = seen
	return len(seen)
}

// operate changes the configuration and reads it at every replica.
func (s *soakRun) operate(ctx context.Context) {
	for ctx.Err() == nil {
		version := s.version.Add(1)
		for try := 0; ctx.Err() == nil; try++ {
			n := s.control[(int(version)+try)%len(s.control)]
			response, err := s.client.Post("http://"+n.operators()+"/Config.Replace", "application/json", strings.NewReader(platformConfiguration(version)))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.acked = version
				break
			}
			if response.StatusCode/100 == 4 {
				s.t.Errorf("version %d was refused with %d", version, response.StatusCode)
			}
		}
		for _, n := range s.control {
			s.checkRead(n)
		}
		pauseFor(ctx, 400*time.Millisecond)
	}
}

// checkRead reads the configuration at a replica, which may answer that it
// cannot be sure, but never with an older one than was acknowledged.
func (s *soakRun) checkRead(n *platformNode) bool {
	status, body := s.readConfiguration(n)
	if status != http.StatusOK {
		return false
	}
	rest, _ := strings.CutPrefix(body, `{"Version":`)
	number, _, _ := strings.Cut(rest, ",")
	version, err := strconv.ParseInt(number, 10, 64)
	if err != nil || version < s.acked || body != platformConfiguration(version) {
		s.t.Errorf("%s answers with %.40q after version %d was acknowledged", n.name, body, s.acked)
	}
	return true
}

// fault is one kind of trouble; it ends by itself.
type fault struct {
	name string
	run  func(s *soakRun, ctx context.Context)
}

var soakFaults = []fault{
	{"kill a replica", func(s *soakRun, ctx context.Context) {
		n := s.pick(append(s.control, s.store...))
		n.kill()
		s.pause(ctx, 1500)
		s.startNode(n, false)
	}},
	{"freeze a daemon", func(s *soakRun, ctx context.Context) {
		n := s.pick(s.nodes())
		n.freeze()
		s.pause(ctx, 2500)
		n.resume()
	}},
	{"empty a disk", func(s *soakRun, ctx context.Context) {
		n := s.pick(append(s.control, s.store...))
		n.kill()
		if err := os.RemoveAll(n.data); err != nil {
			s.t.Error(err)
		}
		s.startNode(n, false)
		pauseFor(ctx, recoverTime)
	}},
	{"harm a link", func(s *soakRun, ctx context.Context) {
		n := s.pick(s.nodes())
		n.link.set(linkMode(1 + s.rand.IntN(int(linkModes)-1)))
		s.pause(ctx, 3000)
		n.link.set(linkOpen)
		n.link.reset()
	}},
	{"reset connections", func(s *soakRun, _ context.Context) {
		s.pick(s.nodes()).link.reset()
	}},
	{"kill all replicas", func(s *soakRun, ctx context.Context) {
		replicas := append(slices.Clone(s.control), s.store...)
		for _, n := range replicas {
			n.kill()
		}
		s.pause(ctx, 1000)
		for _, n := range replicas {
			s.startNode(n, false)
		}
		pauseFor(ctx, recoverTime)
	}},
	{"stop an entry", func(s *soakRun, _ context.Context) {
		n := s.pick(s.entry)
		n.requestStop()
		n.waitExit()
		s.startNode(n, false)
	}},
	{"stop a replica", func(s *soakRun, _ context.Context) {
		n := s.pick(append(s.control, s.store...))
		n.requestStop()
		n.waitExit()
		s.startNode(n, false)
	}},
	{"kill an entry", func(s *soakRun, ctx context.Context) {
		n := s.pick(s.entry)
		n.kill()
		s.pause(ctx, 800)
		s.startNode(n, false)
	}},
}

func (s *soakRun) pick(nodes []*platformNode) *platformNode {
	return nodes[s.rand.IntN(len(nodes))]
}

// pause waits up to a number of milliseconds.
func (s *soakRun) pause(ctx context.Context, most int) {
	pauseFor(ctx, time.Duration(50+s.rand.IntN(most))*time.Millisecond)
}

// injectFaults runs faults one after the other, in series without a pause at
// times, until the context ends.
func (s *soakRun) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		f := soakFaults[s.rand.IntN(len(soakFaults))]
		s.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), f.name)
		f.run(s, ctx)
		if s.rand.IntN(3) > 0 {
			s.pause(ctx, 1500)
		}
	}
}

// heal ends all faults.
func (s *soakRun) heal() {
	for _, n := range s.nodes() {
		n.link.set(linkOpen)
		n.resume()
	}
}

// checkEnd checks the promises that reach over the whole run.
func (s *soakRun) checkEnd() {
	for job := range s.jobsSeen() {
		if _, ended := s.ended[job]; !ended {
			s.await(job+" is done", func() bool {
				return slices.ContainsFunc(s.entry, func(n *platformNode) bool { return s.readResults(n, job) == soakItems })
			})
		}
	}
	for _, n := range s.control {
		s.await(n.name+" answers a read", func() bool { return s.checkRead(n) })
	}
	for job, at := range s.ended {
		for i := range soakItems {
			for _, run := range s.ledger.of(itemID(job, i)) {
				if run.Sub(at) > stopRunTime {
					s.t.Errorf("%s ran %v after the end of its job", itemID(job, i), run.Sub(at))
				}
			}
		}
	}
	for _, id := range s.promised {
		if runs := s.ledger.of(id); len(runs) > 0 {
			s.t.Errorf("%s was answered as not run and has run %d times", id, len(runs))
		}
	}
	for _, id := range s.once {
		if runs := s.ledger.of(id); len(runs) > 1 {
			s.t.Errorf("%s may run once and has run %d times", id, len(runs))
		}
	}
	s.t.Logf("%d requests served, %d refused as not run, %d jobs, version %d", s.served, len(s.promised), len(s.jobs), s.acked)
	if s.served == 0 {
		s.t.Error("no request was served")
	}
}
