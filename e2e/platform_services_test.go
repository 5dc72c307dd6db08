package e2e

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// submitAlternating submits a job of which every other item leads to otherService. It returns
// the number of items that do not.
func (f *platformFleet) submitAlternating(job string, items int) (sound int) {
	f.t.Helper()
	var requests []jobItem
	for i := range items {
		item := newJobItem(job, i, "record")
		if i%2 == 0 {
			item.Path = "/other/x"
		} else {
			sound++
		}
		requests = append(requests, item)
	}
	f.await("job "+job+" is accepted", func() bool { return f.submitItems(f.entries[0], job, requests) == http.StatusAccepted })
	return sound
}

// completedItems returns the number of completed results of a job.
func (f *platformFleet) completedItems(job string) int {
	f.t.Helper()
	completed := 0
	status, page := f.readJobPage(f.entries[0], job, 0)
	for _, r := range page.Results {
		if status != http.StatusOK || r.State != "completed" || r.Text != itemOutput(r.ID) {
			f.t.Errorf("job %s item %s: %s %q", job, r.ID, r.State, r.Text)
		}
		completed++
	}
	return completed
}

// The items of a job lead to two services, and all engines of one are lost. No item for the
// other one started, though its engines were idle.
func TestPlatformItemsOfALostServiceHoldUpOthersOfTheirJob(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startPlatformFleet(t, 1, 2, false)
	f.otherService = "lost"
	f.replaceConfiguration()
	sound := f.submitAlternating("mixed", 20)
	f.await("the items for the service with engines are done", func() bool { return f.completedItems("mixed") == sound })
	f.startEngine(engineSpec{"i-other", "lost", "v1", zoneName(0), engineSlots, false})
	f.await("all items are done", func() bool { return f.completedItems("mixed") == 20 })
	g.Expect(f.engines[2].runCount.Load()).To(BeNumerically(">=", 10))
}

// Engines run one request at a time. Batch left that slot free for online requests, and all items
// were given up when their job was kept no longer.
func TestPlatformEnginesWithOneSlotRunItems(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startPlatformFleet(t, 1, 1, false)
	f.otherService = "single"
	f.replaceConfiguration()
	for i := range 3 {
		f.startEngine(engineSpec{fmt.Sprintf("i-single-%d", i), "single", "v1", zoneName(i), 1, false})
	}
	f.await("the entry knows the engines", func() bool { return f.sendRequest(f.entries[0], "/other-online/", "warm-single").complete })
	const items = 24
	var requests []jobItem
	for i := range items {
		item := newJobItem("single", i, "record")
		item.Path = "/other/x"
		requests = append(requests, item)
	}
	f.await("the job is accepted", func() bool { return f.submitItems(f.entries[0], "single", requests) == http.StatusAccepted })
	online := 0
	f.await("all items are done beside online requests", func() bool {
		id := fmt.Sprintf("online-%d", online)
		got := f.sendRequest(f.entries[0], "/other-online/", id)
		g.Expect(got.complete).To(BeTrue(), "an engine is left to online requests: status %d, %v", got.status, got.err)
		g.Expect(got.body).To(Equal(expectedStream(id)))
		online++
		return f.completedItems("single") == items
	})
}
