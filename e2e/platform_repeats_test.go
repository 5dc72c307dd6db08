package e2e

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// jobAttempts is the number of attempts of the route of jobs.
const jobAttempts = 3

// Failures were counted by each leader of the storage group alone: an item that fails at each run had
// all its attempts again after each change of leader. Each kill may hide one answer from the leader.
func TestPlatformNewLeadersRepeatFailingItems(t *testing.T) {
	t.Parallel()
	const (
		items = 40
		kills = 4
	)
	g := NewWithT(t)
	f := startPlatformFleet(t, 1, 2, false)
	var failing []jobItem
	for i := range items {
		failing = append(failing, newJobItem("failing", i, failingBody))
	}
	f.await("the job is accepted", func() bool { return f.submitItems(f.entries[0], "failing", failing) == http.StatusAccepted })
	for range kills {
		// Some items run between two kills.
		time.Sleep(1200 * time.Millisecond)
		for _, n := range f.stores {
			n.kill()
		}
		for _, n := range f.stores {
			f.startNode(n, false)
		}
	}
	var page jobPage
	f.await("the job is done", func() bool {
		var status int
		status, page = f.readJobPage(f.entries[0], "failing", 0)
		return status == http.StatusOK && len(page.Results) == items
	})
	total := 0
	for _, result := range page.Results {
		g.Expect(result.State).To(Equal("errored"), result.ID)
		runs := len(f.ledger.runTimes(result.ID))
		total += runs
		g.Expect(runs).To(BeNumerically(">=", jobAttempts), result.ID)
		g.Expect(runs).To(BeNumerically("<=", jobAttempts+kills), result.ID)
	}
	t.Logf("%d runs of %d items, %d kills of all storage daemons", total, items, kills)
}
