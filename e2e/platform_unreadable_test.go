package e2e

import (
	"fmt"
	"net/http"
	"net/url"
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
