package node

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/eventlog"
)

// leaderTimeout is the time without a known leader after which that is reported. An election
// takes far less.
const leaderTimeout = 3 * time.Second

// LeaderWatch detects that a replica knows no leader of its group. The zero value is ready for use.
type LeaderWatch struct {
	// since is the time since which no leader is known; zero if one is.
	since    time.Time
	reported bool
}

// Observe records whether a leader is known, and logs once if that is not so for leaderTimeout.
func (w *LeaderWatch) Observe(logger *log.Logger, group string, known bool, now time.Time) {
	if known {
		*w = LeaderWatch{}
		return
	}
	if w.since.IsZero() {
		w.since = now
	}
	if missing := now.Sub(w.since); missing >= leaderTimeout && !w.reported {
		w.reported = true
		logger.Warn(eventlog.LeaderMissing, "group", group, "missing_ms", missing.Milliseconds())
	}
}
