// Package explain finds the way of one request, batch item, job or routing
// version in the logs of all daemons.
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

// maxLineBytes bounds one line of a log; longer ones end the reading.
const maxLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	Time   time.Time
	Event  string
	Daemon string
	Fields map[string]any
	Raw    string
}

// Find returns the lines that name an ID, in the order of their times. The ID
// is that of a request, an item's request or a job; "version:N" names a
// version of the routing table. Text before the JSON object of a line is
// ignored, as collectors put it there.
func Find(source io.Reader, id string) ([]Line, error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	idBytes, startedEvent := []byte(strings.TrimPrefix(id, versionPrefix)), []byte(`"`+eventlog.Started+`"`)
	var found, starts []Line
	for scanner.Scan() {
		mentionsID := bytes.Contains(scanner.Bytes(), idBytes)
		if !mentionsID && !bytes.Contains(scanner.Bytes(), startedEvent) {
			continue
		}
		line, ok := parseLine(scanner.Text())
		switch {
		case ok && mentionsID && line.concerns(id):
			found = append(found, line)
		case ok && line.Event == eventlog.Started:
			starts = append(starts, line)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(found, byTime)
	slices.SortStableFunc(starts, byTime)
	return appendRestart(found, starts), eris.Wrap(scanner.Err(), "read log")
}

// appendRestart adds the next start of a daemon that had a request underway
// and wrote no end for it.
func appendRestart(found, starts []Line) []Line {
	if len(found) == 0 || !found[len(found)-1].inProgress() {
		return found
	}
	last := found[len(found)-1]
	for _, s := range starts {
		if s.Daemon == last.Daemon && s.Time.After(last.Time) {
			return append(found, s)
		}
	}
	return found
}

// inProgress reports whether a request goes on after a line.
func (l Line) inProgress() bool {
	switch l.Event {
	case eventlog.RequestPlaced, eventlog.RequestRetried, eventlog.RequestResumed:
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

// reasonTexts says in words what the reasonTexts of refusals and cuts mean.
var reasonTexts = map[string]string{
	"no_routing_table":        "the entry had just started and no control replica had given it a routing table",
	"no_route":                "the routing table of the given version has no route for the host and path",
	"no_upstream":             "no upstream of the service was known",
	"queue_full":              "more requests waited for a slot than could get one in the time that the route allows",
	"wait_over":               "no slot became free within the share of the objective for which a request may wait",
	"unreachable":             "the upstreams that were tried could not be reached",
	"no_answer":               "an upstream broke off before it answered; the request may have run",
	"broke_off":               "an upstream broke off in the middle of its answer",
	"event_cut":               "an upstream ended its answer in the middle of an event",
	"malformed":               "an upstream sent what is no stream of events",
	"not_genuine":             "what answered was not the engine",
	"caller_left":             "the caller closed its connection",
	"deadline":                "the time of the caller or the route ended before a slot was free",
	"storage_unavailable":     "no leader of the storage group could be reached",
	"storage_outcome_unknown": "the storage group may have carried the call out, and the answer was lost",
	"yielded":                 "the run was stopped for online requests",
	"cannot_be_done":          "the engine says that the item can never be done",
	"attempts_exhausted":      "the engines failed the item as often as its route allows",
	"kept_too_long":           "the item was not done in the time for which its job is kept",
}

// Cause says in one line how the way ended and why.
func Cause(lines []Line) string {
	cause := "no decision is logged for it"
	for _, l := range lines {
		reason := l.name("reason")
		reasonText := reason
		if text, ok := reasonTexts[reason]; ok {
			reasonText = reason + ": " + text
		}
		switch l.Event {
		case eventlog.RequestRefused:
			cause = fmt.Sprintf("refused by %s with %s after %s ms; %s", l.Daemon, l.name("status"), l.name("waited_ms"), reasonText)
			if version := l.name("routing"); version != "" && version != "0" {
				cause += " (routing version " + version + ")"
			}
		case eventlog.RequestCut:
			cause = fmt.Sprintf("cut by %s after %s events and %s ms at upstream %s; %s", l.Daemon, l.name("events"), l.name("elapsed_ms"), l.name("upstream"), reasonText)
		case eventlog.RequestPlaced, eventlog.RequestRetried, eventlog.RequestResumed:
			cause = fmt.Sprintf("underway at %s, which wrote no end for it", l.Daemon)
		case eventlog.Started:
			cause += fmt.Sprintf(" and started again at %s: what it had underway was lost", l.Time.Format(time.TimeOnly))
		case eventlog.RequestFinished:
			cause = fmt.Sprintf("answered through %s with %s, first event after %s ms, %s upstreams ran it", l.Daemon, l.name("status"), l.name("first_ms"), l.name("ran"))
		case eventlog.ItemSettled:
			cause = fmt.Sprintf("settled by %s, failed %s %s", l.Daemon, l.name("failed"), reasonText)
		case eventlog.JobRefused:
			cause = fmt.Sprintf("%s refused by %s: %s", l.name("call"), l.Daemon, reasonText)
		case eventlog.JobAccepted, eventlog.JobEnded, eventlog.RoutingAccepted, eventlog.RoutingApplied, eventlog.RoutingRejected:
			cause = fmt.Sprintf("%s at %s %s", l.Event, l.Daemon, reasonText)
		}
	}
	return strings.TrimSpace(cause)
}
