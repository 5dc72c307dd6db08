package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// routesOfHost returns the JSON of routes of one host, each followed by a comma.
func routesOfHost(host string, count int) string {
	var routes strings.Builder
	for i := range count {
		fmt.Fprintf(&routes, `{"Name":"r-%d","Host":%q,"PathPrefix":"/many/%x/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,"Service":%q,"Attempts":3,"Resumable":true},`,
			i, host, i*7919, serviceName)
	}
	return routes.String()
}

// An entry compared each route of a host with all others of both tables while updates and starts
// of streams waited: small changes of a large table were in force seconds late, and requests went
// to engines that had left.
func TestPlatformChangesOfALargeTableAreInForceInTime(t *testing.T) {
	t.Parallel()
	expect := NewWithT(t)
	f := startPlatformFleet(t, 2, 4, false)
	f.moreRoutes = routesOfHost(routeHost, 11_200)
	version := f.replaceConfiguration()
	f.await("every entry has the large table", func() bool {
		for _, n := range f.entries {
			if got := f.sendRequest(n, "/many/0/", fmt.Sprintf("large-%s-%d-%d", n.name, version, time.Now().UnixNano())); !got.complete {
				return false
			}
		}
		return true
	})
	leaving := f.engines[0]
	leaving.draining.Store(true)
	for range 4 {
		f.expectChangeInForce()
	}
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
