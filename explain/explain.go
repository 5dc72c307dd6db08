// Package explain finds the events of one request, batch item, job or routing
// version in the logs of all daemons, and summarizes its outcome.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/eventlog"
)

// maxLineBytes limits a line of a log; a longer line ends the search with an error.
const maxLineBytes = 1 << 20

// Line is a log line with one event.
type Line struct {
	Time   time.Time
	Event  string
	Daemon string
	Fields map[string]any
	Raw    string
}

// Find returns the lines about an ID, sorted by time. The ID is that of a request,
// of an item's request or of a job; "version:N" selects a version of the routing
// table. Text before the JSON object of a line, as log collectors add it, is
// ignored. If the daemon of a request in progress restarted, its next start is the
// last line. Lines about upstreams that leave are added to a request that was kept away
// from them.
func Find(source io.Reader, id string) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	idBytes := []byte(strings.TrimPrefix(id, versionPrefix))
	var found []Line
	var past history
	for scanner.Scan() {
		mentionsID := bytes.Contains(scanner.Bytes(), idBytes)
		if !mentionsID && !mentionsHistory(scanner.Bytes()) {
			continue
		}
		line, ok := parseLine(scanner.Text())
		if !ok {
			continue
		}
		if mentionsID && line.concerns(id) {
			found = append(found, line)
		}
		past.add(line)
	}
	slices.SortStableFunc(found, byTime)
	past.sort()
	return appendRestart(past.insertLeaving(found), past.starts), eris.Wrap(scanner.Err(), "read log")
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// appendRestart appends the next start of the daemon if the last event shows a
// request in progress, so that its end was never logged.
func appendRestart(lines, starts []Line) []Line {
	if len(lines) == 0 || !lines[len(lines)-1].inProgress() {
		return lines
	}
	last := lines[len(lines)-1]
	for _, s := range starts {
		if s.Daemon == last.Daemon && s.Time.After(last.Time) {
			return append(lines, s)
		}
	}
	return lines
}

// inProgress reports whether the request is still in progress after the event.
func (l Line) inProgress() bool {
	switch l.Event {
	case eventlog.RequestPlaced, eventlog.RequestRetried, eventlog.AttemptInterrupted, eventlog.RequestResumed,
		eventlog.RequestHedged, eventlog.HedgeSettled:
		return true
	}
	return false
}

const versionPrefix = "version:"

func parseLine(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(strings.NewReader(text[at:]))
	decoder.UseNumber()
	line := Line{Raw: text[at:]}
	if decoder.Decode(&line.Fields) != nil {
		return Line{}, false
	}
	line.Event = line.name("msg")
	line.Daemon = line.name("daemon")
	when, err := time.Parse(time.RFC3339Nano, line.name("time"))
	line.Time = when
	return line, err == nil && line.Event != ""
}

func (l Line) name(field string) string {
	value, ok := l.Fields[field]
	if !ok || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

func (l Line) concerns(id string) bool {
	if version, ok := strings.CutPrefix(id, versionPrefix); ok {
		return l.name("version") == version
	}
	return l.name("request") == id || l.name("job") == id
}

// reasonTexts explains the reasons of refusals, aborted responses and item results.
var reasonTexts = map[string]string{
	"no_routing_table":        "the entry had just started and had not received a confirmed routing table from a control replica",
	"no_route":                "the routing table of this version has no route for the host and path",
	"missing_key":             "the route is not public, and the request had no Authorization header",
	"malformed_key":           "the request had several Authorization headers, or one that holds no bearer token that can be a key",
	"unknown_key":             "no customer had the key of the request in the routing table of this version",
	"revoked_key":             "the key of the request was removed while the request waited or was retried",
	"no_upstream":             "no upstream of the service, or for a stream that goes on of its software version, was known",
	"origin_unknown":          "the caller took a stream up, and no daemon in reach knew which software version began it",
	"origin_gone":             "the caller took a stream up, and no engine of the software version that began it is left",
	"origin_not_routed":       "the caller took a stream up, and the route no longer leads to the service that began it",
	"queue_full":              "more requests were waiting for a slot than could get one within the time that the route allows",
	"no_memory":               "engines with free slots had no memory for the tokens that the request states, and none became free in time",
	"too_large":               "the request states more tokens than an engine of its service holds",
	"item_too_large":          "the job has an item that states more tokens than an engine of its route holds; nothing of the job was accepted",
	"rate_limited":            "engines with free slots state a limit of requests a second that allowed no further one in time",
	"unfair_share":            "the customer had more than its share of the slots, and its place or the last free slots went to others that had less",
	"over_quota":              "the customer was over its quota, counted over all entries",
	"wait_over":               "no slot became free within the share of the latency objective for which a request may wait",
	"unreachable":             "none of the upstreams tried could be reached",
	"no_answer":               "the connection to an upstream failed before it responded; the request may have run",
	"only_interim":            "an upstream sent interim responses (status 100 to 199) but no answer; the request may have run",
	"condition_unmet":         "the engines tried do not meet a condition of the request, such as a version of the weights; they have not run it",
	"panicked":                "a fault of the daemon ended the attempt; request_panicked has the place",
	"invalid_answer":          "an upstream sent bytes that are no answer, such as a status below 200 or above 599; the request may have run",
	"foreign_answer":          "an upstream sent only answers that belong, or may belong, to other requests; the request may have run",
	"broke_off":               "the connection to an upstream failed in the middle of its response",
	"no_events":               "an upstream closed the connection of a stream without a length before its first event",
	"silent":                  "the upstream sent no event for some seconds, and the run was ended",
	"output_too_long":         "the upstream sent more than any item has as output",
	"prompt_quarantined":      "engines crashed on a part of the prompt",
	"request_quarantined":     "engines crashed on the same request, which came again",
	"event_cut":               "an upstream ended its response in the middle of an event",
	"malformed":               "an upstream sent data that is not a valid event stream",
	"not_genuine":             "the response did not come from the engine",
	"stopping":                "the entry was about to end, and the request might have outlasted it; it had not been passed on",
	"caller_left":             "the caller closed its connection",
	"deadline":                "the deadline of the caller or the timeout of the route passed before a slot became free",
	"storage_unavailable":     "no leader of the storage group could be reached",
	"storage_full":            "the leader of the storage group had no memory for the job, or too many items were open; nothing of it was accepted",
	"memory_full":             "the requests of callers held all the memory that they may at this daemon; clients_limited has the sums",
	"body_too_slow":           "the body of the request arrived more slowly than the minimum rate allows, or had stopped",
	"connections_full":        "the connection was being closed for another one when the request came on it; the daemon had as many as it may",
	"storage_outcome_unknown": "the storage group may have executed the request, but its response was lost",
	"version_gone":            "no engine of the software version that began the output was there; the item started again",
	"version_busy":            "the engines of the software version that began the output were busy while others were not; the item started again",
	"version_unknown":         "the leader before was of an older build and did not save which software version began the output; the item started again",
	"yielded":                 "the run was preempted by online requests",
	"cannot_be_done":          "the engine reported that the item can never succeed",
	"attempts_exhausted":      "the item failed in as many attempts as its route allows",
	"kept_too_long":           "the item was not completed within the time for which its job is kept",
}

// Cause summarizes in one line how the request, item, job or routing version of the
// lines ended and why.
func Cause(lines []Line) string {
	cause := "no event is logged for this ID"
	for _, l := range lines {
		reason := l.name("reason")
		reasonText := reason
		if text, ok := reasonTexts[reason]; ok {
			reasonText = reason + ": " + text
		}
		switch l.Event {
		case eventlog.RequestRefused:
			cause = fmt.Sprintf("refused by %s with status %s after %s ms; %s", l.Daemon, l.name("status"), l.name("waited_ms"), reasonText)
			if version := l.name("routing"); version != "" && version != "0" {
				cause += " (routing version " + version + ")"
			}
		case eventlog.CustomerOverQuota:
			cause = fmt.Sprintf("refused by %s with status 429: customer %s was over its quota of %s a second, burst %s (level %s, share in use %s)", l.Daemon, l.name("customer"), l.name("per_second"), l.name("burst"), l.name("level"), l.name("share"))
		case eventlog.RequestCut:
			cause = fmt.Sprintf("response aborted by %s after %s events and %s ms, last upstream %s; %s", l.Daemon, l.name("events"), l.name("elapsed_ms"), l.name("upstream"), reasonText)
		case eventlog.RequestPlaced, eventlog.RequestRetried, eventlog.AttemptInterrupted, eventlog.RequestResumed,
			eventlog.RequestHedged, eventlog.HedgeSettled:
			cause = fmt.Sprintf("in progress at %s, which logged no end of it", l.Daemon)
		case eventlog.Started:
			cause += fmt.Sprintf(" and restarted at %s: its requests in progress were lost", l.Time.Format(time.TimeOnly))
		case eventlog.RequestFinished:
			cause = fmt.Sprintf("completed by %s with status %s, first event after %s ms, %s upstreams may have run it", l.Daemon, l.name("status"), l.name("first_ms"), l.name("ran"))
		case eventlog.ItemSettled:
			cause = fmt.Sprintf("settled by %s, failed: %s %s", l.Daemon, l.name("failed"), reasonText)
		case eventlog.JobRefused:
			cause = fmt.Sprintf("%s refused by %s: %s", l.name("call"), l.Daemon, reasonText)
		case eventlog.JobAccepted, eventlog.JobEnded, eventlog.RoutingAccepted, eventlog.RoutingApplied, eventlog.RoutingRejected:
			cause = fmt.Sprintf("%s at %s %s", l.Event, l.Daemon, reasonText)
		}
	}
	return strings.TrimSpace(cause) + customerCause(lines) + hedgeCause(lines) + leavingCause(lines)
}

// customerCause names the customers of the lines. There are several where they use the
// same ID.
func customerCause(lines []Line) string {
	var names []string
	for _, l := range lines {
		if name := l.name("customer"); name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	switch len(names) {
	case 0:
		return ""
	case 1:
		return "; customer " + names[0]
	}
	return "; customers " + strings.Join(names, ", ")
}
