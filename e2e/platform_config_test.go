package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/briarcross/briarcross/eventlog"
)

// logContains reports whether a log line of the process has an event and a text.
func (p *process) logContains(event, text string) bool {
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, fmt.Sprintf(`"msg":%q`, event)) && strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// A control replica that missed changes and has not heard from the others yet sent the
// table that it had, and an entry that had just started put it in force.
func TestPlatformEntryStartsWithNoTableOfAReplicaThatMissedChanges(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 1, 1, false)
	entry, behind := f.entries[0], f.controls[2]
	if got := f.sendRequest(entry, "/odd/", "before"); got.status != http.StatusOK {
		t.Fatalf("version 1 has the route, but got status %d", got.status)
	}
	behind.kill()
	version := f.replaceConfiguration()
	for _, n := range []*platformNode{entry, f.controls[0], f.controls[1]} {
		n.kill()
	}
	if err := os.Truncate(entry.logPath, 0); err != nil {
		t.Fatal(err)
	}
	f.startNode(behind, false)
	f.startNode(entry, false)
	requests := 0
	expectStatus := func(allowed ...int) int {
		requests++
		got := f.sendRequest(entry, "/odd/", fmt.Sprintf("after-%d", requests))
		for _, status := range allowed {
			if got.status == status {
				return status
			}
		}
		t.Fatalf("request %d on a route that version %d dropped: status %d", requests, version, got.status)
		return 0
	}
	f.await("the entry hears from the replica that is behind", func() bool {
		if entry.logContains(eventlog.DependencyFound, behind.internalAddress()) {
			return true
		}
		expectStatus(0, http.StatusServiceUnavailable)
		return false
	})
	for range 20 {
		expectStatus(http.StatusServiceUnavailable)
	}
	f.startNode(f.controls[0], false)
	f.startNode(f.controls[1], false)
	f.await("the entry has the latest table", func() bool {
		return expectStatus(http.StatusServiceUnavailable, http.StatusNotFound) == http.StatusNotFound
	})
}

// checkFirstTables checks by the logs of the entries and storage daemons that the first
// routing table after each start has all versions that were confirmed before the start, and
// that no later table is older than the one before it.
func (s *soakRun) checkFirstTables() {
	starts := 0
	for _, n := range append(slices.Clone(s.entries), s.stores...) {
		raw, err := os.ReadFile(n.logPath)
		if err != nil {
			s.t.Error(err)
			continue
		}
		atLeast, began := int64(0), time.Time{}
		for line := range strings.Lines(string(raw)) {
			var event struct {
				Time    time.Time
				Msg     string
				Version any
			}
			if json.Unmarshal([]byte(line), &event) != nil {
				continue
			}
			switch event.Msg {
			case eventlog.Started:
				atLeast, began = s.confirmedBefore(event.Time), event.Time
				starts++
			case eventlog.RoutingApplied:
				version, isNumber := event.Version.(float64)
				if !isNumber || int64(version) < atLeast {
					s.t.Errorf("%s, started at %v, put version %v in force at %v, after %d", n.name, began, event.Version, event.Time, atLeast)
				}
				atLeast = int64(version)
			}
		}
	}
	s.t.Logf("%d starts of entries and storage daemons with a confirmed configuration", starts)
}

// confirmedBefore returns the last version whose acceptance was confirmed before a time.
func (s *soakRun) confirmedBefore(at time.Time) int64 {
	confirmed := int64(0)
	for _, ack := range s.acks {
		if ack.at.Before(at) {
			confirmed = max(confirmed, ack.version)
		}
	}
	return confirmed
}
