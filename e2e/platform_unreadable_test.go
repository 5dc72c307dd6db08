package e2e

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// configurationBound is the time within which a confirmed change must be in force.
const configurationBound = 2500 * time.Millisecond

// foreignHeartbeat is a heartbeat of another writer.
type foreignHeartbeat struct {
	id, body string
}

// sendForeignHeartbeat sends a heartbeat of another writer to each control replica, and
// returns the statuses.
func (f *platformFleet) sendForeignHeartbeat(heartbeat foreignHeartbeat) []int {
	f.t.Helper()
	var statuses []int
	for _, n := range f.controls {
		target := "http://" + n.operatorsAddress() + "/Instances.Heartbeat/" + url.PathEscape(heartbeat.id)
		response, err := f.client.Post(target, "application/json", strings.NewReader(heartbeat.body))
		if err != nil {
			f.t.Fatal(err)
		}
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// expectChangeInForce replaces the configuration and fails the test if an entry does not obey
// the change within the bound. Odd versions have the route /odd/.
func (f *platformFleet) expectChangeInForce() {
	f.t.Helper()
	version := f.replaceConfiguration()
	confirmedAt := time.Now()
	want := http.StatusNotFound
	if version%2 == 1 {
		want = http.StatusOK
	}
	for _, n := range f.entries {
		for i := 0; ; i++ {
			got := f.sendRequest(n, "/odd/", fmt.Sprintf("odd-%s-%d-%d", n.name, version, i))
			if got.status == want {
				break
			}
			if time.Since(confirmedAt) > configurationBound {
				f.t.Fatalf("%v after version %d was confirmed, %s answers status %d on its new or dropped route, not %d",
					time.Since(confirmedAt), version, n.name, got.status, want)
			}
		}
	}
}

// Another writer sent each control replica one heartbeat whose ID is not UTF-8. No replica
// could encode an update for any entry from then on: changes of the configuration did not come
// into force, and entries sent requests to engines that had left.
func TestPlatformHeartbeatWithAnUnreadableIDHoldsUpNoUpdate(t *testing.T) {
	t.Parallel()
	expect := NewWithT(t)
	f := startPlatformFleet(t, 2, 4, false)
	body := fmt.Sprintf(`{"Service":%q,"Addr":"10.128.3.40:8080","Zone":"zone-0","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1}`, serviceName)
	expect.Expect(f.sendForeignHeartbeat(foreignHeartbeat{"i-6d\xff\xfe", body})).To(HaveEach(BeNumerically("<", 500)))
	for range 4 {
		f.expectChangeInForce()
	}
	leaving := f.engines[0]
	leaving.draining.Store(true)
	f.await("the engine has left", func() bool {
		at := leaving.drainAckUnixMs.Load()
		return at > 0 && time.Since(time.UnixMilli(at)) > drainTimeout
	})
	for i := range 40 {
		got := f.sendRequest(f.entries[i%len(f.entries)], "/once/", fmt.Sprintf("after-leaving-%d", i))
		expect.Expect(got.complete).To(BeTrue(), "status %d, %v", got.status, got.err)
	}
	expect.Expect(leaving.lateRequests.Load()).To(BeZero(), "requests that reached an engine after it has left")
}

// Requests of jobs with IDs that storage cannot keep were answered 503 or 504 after three seconds,
// as if they could be served later.
func TestPlatformJobsWithUnreadableIDsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	expect := NewWithT(t)
	f := startPlatformFleet(t, 1, 1, false)
	entry := f.entries[0]
	item := newJobItem("sound", 0, "record")
	f.await("a sound job is accepted", func() bool { return f.submitItems(entry, "sound", []jobItem{item}) == http.StatusAccepted })
	body := `{"Requests":[{"Id":"e5","Path":"/jobs/1/x","Body":""}]}`
	for name, send := range map[string]func() (int, []byte){
		"job ID": func() (int, []byte) {
			return f.sendJobRequest(http.MethodPost, entry, "/jobs/submit", "i-\xff\xfe", body)
		},
		"path of a job": func() (int, []byte) { return f.sendJobRequest(http.MethodPost, entry, "/jobs/%ff%fe", "path", body) },
		"item ID": func() (int, []byte) {
			return f.sendJobRequest(http.MethodPost, entry, "/jobs/submit", "item", strings.Replace(body, "e5", "e5\xff", 1))
		},
		"item path": func() (int, []byte) {
			return f.sendJobRequest(http.MethodPost, entry, "/jobs/submit", "target", strings.Replace(body, "/jobs/1/x", "/a HTTP/1.1\\r\\nA: b", 1))
		},
		"reading": func() (int, []byte) { return f.sendJobRequest(http.MethodGet, entry, "/lots/%ff%fe", "read", "") },
		"reading a body": func() (int, []byte) {
			return f.sendJobRequest(http.MethodGet, entry, "/items/sound?Id=%ff%fe", "body", "")
		},
		"cancellation": func() (int, []byte) { return f.sendJobRequest(http.MethodDelete, entry, "/lots/%ff%fe", "cancel", "") },
	} {
		status, reason := send()
		expect.Expect(status).To(Equal(http.StatusBadRequest), "%s: %s", name, reason)
		expect.Expect(string(reason)).To(Or(ContainSubstring("UTF-8"), ContainSubstring("control character")), name)
	}
	f.await("the sound job is done", func() bool { return f.completedItems("sound") == 1 })
}

// Half of the engines wrote well-formed events without end. The leader of the storage group grew
// beyond its machine, and items completed with such text.
func TestPlatformEndlessEventsAreCutOff(t *testing.T) {
	t.Parallel()
	expect := NewWithT(t)
	f := startPlatformFleet(t, 1, 4, false)
	for _, e := range f.engines[:2] {
		e.endless.Store(true)
	}
	const items = 120
	var requests []jobItem
	for i := range items {
		item := newJobItem("endless", i, "record")
		item.Headers["Briarcross-Token-Count"] = "100,200"
		requests = append(requests, item)
	}
	f.await("the job is accepted", func() bool { return f.submitItems(f.entries[0], "endless", requests) == http.StatusAccepted })
	f.await("half of the items are done at the sound engines", func() bool { return f.completedItems("endless") >= items/2 })
	for _, e := range f.engines[:2] {
		e.endless.Store(false)
	}
	f.await("all items are done", func() bool { return f.completedItems("endless") == items })
	for _, n := range f.nodes() {
		// A storage VM has 304 MB.
		expect.Expect(n.peakMemoryBytes()).To(BeNumerically("<", 200<<20), n.name)
	}
}

// peakMemoryBytes returns the highest resident memory that the process has had.
func (p *process) peakMemoryBytes() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return math.MaxInt64
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err == nil {
				return kilobytes << 10
			}
		}
	}
	return math.MaxInt64
}
