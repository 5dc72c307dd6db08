package storenode

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
)

// The engine states its rate limit at the start of a long run.
func TestItemsExceedTheRateLimitOfAnEngine(t *testing.T) {
	for name, runsOnWorker := range map[string]bool{"leader": false, "worker": true} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			e, run, slots := startLeavingRun(t)
			e.leaving, e.limit = false, "0.2"
			ended := executeRun(t, run, runsOnWorker)
			expect.Eventually(refusedReason(slots), testTimeout, time.Millisecond).Should(Equal(dispatch.RateLimited))
			close(e.gate)
			expect.Eventually(ended, testTimeout).Should(Receive(Equal(http.StatusOK)))
			expect.Expect(run.text()).To(Equal("one\ntwo\nthree"))
		})
	}
}
