package clientlimit

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever jobs come and are completed: the backlog exceeds its limit only by a job that is alone,
// and none is refused that fits.
func TestBacklogStaysWithinItsLimitInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Backlog{Items: 100, Bytes: 1000}
		var open []Backlog
		sum := func() (total Backlog) {
			for _, job := range open {
				total.Items += job.Items
				total.Bytes += job.Bytes
			}
			return total
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				job := Backlog{rapid.IntRange(1, 150).Draw(t, "items"), rapid.Int64Range(1, 1500).Draw(t, "bytes")}
				before := sum()
				fits := before.Items+job.Items <= limit.Items && before.Bytes+job.Bytes <= limit.Bytes
				if admitted := limit.Admits(before, job); admitted != (fits || len(open) == 0) {
					t.Fatalf("job %+v beside %+v: admitted %v", job, before, admitted)
				} else if admitted {
					open = append(open, job)
				}
			},
			"complete": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no job")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "job")
				open = append(open[:i], open[i+1:]...)
			},
			"": func(t *rapid.T) {
				if total := sum(); len(open) > 1 && (total.Items > limit.Items || total.Bytes > limit.Bytes) {
					t.Fatalf("%d jobs are open: %+v", len(open), total)
				}
			},
		})
	})
}
