package explain

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
)

// history holds lines about what daemons believed of upstreams, sorted by time, and
// their starts.
type history struct {
	starts, leaving, changes []Line
}

// mentionsHistory reports whether a log line may belong to the history.
func mentionsHistory(text []byte) bool {
	for _, event := range []string{eventlog.Started, eventlog.UpstreamLeaving, eventlog.UpstreamChanged} {
		if bytes.Contains(text, []byte(`"`+event+`"`)) {
			return true
		}
	}
	return false
}

func (h *history) add(line Line) {
	switch line.Event {
	case eventlog.Started:
		h.starts = append(h.starts, line)
	case eventlog.UpstreamLeaving:
		h.leaving = append(h.leaving, line)
	case eventlog.UpstreamChanged:
		h.changes = append(h.changes, line)
	}
}

func (h *history) sort() {
	for _, lines := range [][]Line{h.starts, h.leaving, h.changes} {
		slices.SortStableFunc(lines, byTime)
	}
}

// insertLeaving adds the lines about upstreams that a request was not sent to because
// its daemon knew, but not from control, that they leave.
func (h *history) insertLeaving(lines []Line) []Line {
	var added []Line
	for _, placed := range lines {
		if placed.Event != eventlog.RequestPlaced {
			continue
		}
		for _, mark := range h.leaving {
			isNew := func(l Line) bool { return l.Raw == mark.Raw }
			if h.keepsAway(mark, placed) && !slices.ContainsFunc(lines, isNew) && !slices.ContainsFunc(added, isNew) {
				added = append(added, mark)
			}
		}
	}
	lines = append(lines, added...)
	slices.SortStableFunc(lines, byTime)
	return lines
}

// keepsAway reports whether a mark kept a request away from its upstream.
func (h *history) keepsAway(mark, placed Line) bool {
	if mark.Daemon != placed.Daemon || mark.Time.After(placed.Time) || mark.name("upstream") == placed.name("upstream") {
		return false
	}
	restarted := func(l Line) bool {
		return l.Daemon == mark.Daemon && l.Time.After(mark.Time) && !l.Time.After(placed.Time)
	}
	if slices.ContainsFunc(h.starts, restarted) {
		return false
	}
	marked, known := h.stateAt(mark.Daemon, mark.name("upstream"), placed.Time)
	chosen, chosenKnown := h.stateAt(mark.Daemon, placed.name("upstream"), placed.Time)
	return known && chosenKnown && marked.name("service") == chosen.name("service") &&
		marked.name("born") == mark.name("born") && marked.name("phase") == strconv.Itoa(int(fleet.Ready))
}

// stateAt returns the last change of an upstream that a daemon had seen at a time.
func (h *history) stateAt(daemon, upstream string, at time.Time) (Line, bool) {
	for _, change := range slices.Backward(h.changes) {
		if change.Daemon == daemon && change.name("upstream") == upstream && !change.Time.After(at) {
			return change, true
		}
	}
	return Line{}, false
}

// leavingCause names the upstreams that a request was not sent to because of marks.
func leavingCause(lines []Line) string {
	var tried, upstreams []string
	for _, l := range lines {
		if l.Event == eventlog.RequestPlaced || l.Event == eventlog.RequestHedged {
			tried = append(tried, l.name("upstream"))
		}
	}
	for _, l := range lines {
		name := l.name("upstream")
		if l.Event == eventlog.UpstreamLeaving && !slices.Contains(tried, name) && !slices.Contains(upstreams, name) {
			upstreams = append(upstreams, name)
		}
	}
	if len(upstreams) == 0 {
		return ""
	}
	return "; not sent to " + strings.Join(upstreams, ", ") + ", which had said in an answer that it leaves"
}
