package node

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quarantine"
)

// Quarantine is a quarantine.Table for concurrent use. It logs its verdicts.
type Quarantine struct {
	logger *log.Logger
	// onChange is called when the evidence has changed. It must not block.
	onChange func()
	parts    prometheus.Gauge

	mu       sync.Mutex
	table    *quarantine.Table
	verdicts map[string]quarantine.Verdict
}

// NewQuarantine returns a quarantine without evidence.
func NewQuarantine(logger *log.Logger, onChange func()) *Quarantine {
	return &Quarantine{
		logger: logger, onChange: onChange, table: quarantine.NewTable(), verdicts: make(map[string]quarantine.Verdict),
		parts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "briarcross_quarantined_prompt_parts", Help: "Parts of prompts that are kept away from engines because engines crashed on them.",
		}),
	}
}

// Collector returns the metric of the quarantine.
func (q *Quarantine) Collector() prometheus.Collector { return q.parts }

// RecordServed records that an engine answers a prompt with some shared parts.
func (q *Quarantine) RecordServed(parts []string) {
	if len(parts) > 0 {
		q.update(func(now time.Time) { q.table.RecordServed(now, parts) })
	}
}

// RecordCrash records that the connection to an upstream broke when that had a prompt with
// some shared parts, after fewer than quarantine.MinServedEvents events. The grant is that
// for which the prompt was sent; answering is set if the upstream had begun to answer.
func (q *Quarantine) RecordCrash(grant dispatch.Grant, parts []string, answering bool) {
	if len(parts) > 0 {
		q.update(func(now time.Time) {
			prompt := quarantine.Prompt{Parts: parts, SentAt: grant.GrantedAt, Unanswered: !answering}
			q.table.RecordCrash(now, grant.Upstream, grant.StartUnixMs, prompt)
		})
	}
}

// Check reports whether a part of a prompt is in quarantine, and for how long at least
// if no further engine crashes on it.
func (q *Quarantine) Check(parts []string) (remaining time.Duration, quarantined bool) {
	if len(parts) == 0 {
		return 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	verdict, quarantined := q.table.Check(now, parts)
	return max(0, verdict.Until.Sub(now)), quarantined
}

// Suspects reports whether a part of a prompt is suspected of a crash.
func (q *Quarantine) Suspects(parts []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Suspects(time.Now(), parts)
}

// Merge adds the evidence of another daemon.
func (q *Quarantine) Merge(evidence *pb.CrashEvidence) {
	if evidence == nil {
		return
	}
	q.update(func(now time.Time) { q.table.Merge(now, decodeEvidence(now, evidence)) })
}

// Since returns the evidence that changed after a change, nil if there is none, and the
// number of the latest change.
func (q *Quarantine) Since(change uint64) (*pb.CrashEvidence, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	last := q.table.LastChange()
	if last == change {
		return nil, last
	}
	return encodeEvidence(time.Now(), q.table.Since(change)), last
}

// update changes the table, and reports a change of the evidence.
func (q *Quarantine) update(change func(now time.Time)) {
	q.mu.Lock()
	now, before := time.Now(), q.table.LastChange()
	change(now)
	changed := q.table.LastChange() != before
	if changed {
		q.logVerdicts(now)
	}
	q.mu.Unlock()
	if changed {
		q.onChange()
	}
}

// logVerdicts logs the parts that came into quarantine or left it. The caller must hold mu.
func (q *Quarantine) logVerdicts(now time.Time) {
	current := make(map[string]quarantine.Verdict)
	for _, verdict := range q.table.Verdicts(now) {
		current[verdict.Part] = verdict
		if _, known := q.verdicts[verdict.Part]; !known {
			q.logger.Warn(eventlog.PromptPartQuarantined, "part", verdict.Part, "crashes", verdict.Crashes, "remaining_ms", verdict.Until.Sub(now).Milliseconds())
		}
	}
	for part := range q.verdicts {
		if _, known := current[part]; !known {
			q.logger.Info(eventlog.PromptPartReleased, "part", part)
		}
	}
	q.verdicts = current
	q.parts.Set(float64(len(current)))
}

func encodeEvidence(now time.Time, evidence quarantine.Evidence) *pb.CrashEvidence {
	encoded := &pb.CrashEvidence{}
	for _, crash := range evidence.Crashes {
		message := &pb.EngineCrash{Upstream: crash.Upstream, BornUnixMs: crash.StartUnixMs, AgeMs: milliseconds(now.Sub(crash.At))}
		for _, suspect := range crash.Suspects {
			message.Suspects = append(message.Suspects, &pb.SuspectPart{
				Part: suspect.Part, Position: uint32(suspect.Position), Repeated: suspect.Repeated, Unanswered: suspect.Unanswered,
			})
		}
		encoded.Crashes = append(encoded.Crashes, message)
	}
	for _, served := range evidence.Served {
		encoded.Served = append(encoded.Served, &pb.ServedPart{Part: served.Part, AgeMs: milliseconds(now.Sub(served.At))})
	}
	return encoded
}

func decodeEvidence(now time.Time, evidence *pb.CrashEvidence) quarantine.Evidence {
	var decoded quarantine.Evidence
	for _, message := range evidence.GetCrashes() {
		crash := quarantine.Crash{Upstream: message.GetUpstream(), StartUnixMs: message.GetBornUnixMs(), At: before(now, message.GetAgeMs())}
		for _, suspect := range message.GetSuspects() {
			crash.Suspects = append(crash.Suspects, quarantine.Suspect{
				Part: suspect.GetPart(), Position: int(suspect.GetPosition()), Repeated: suspect.GetRepeated(), Unanswered: suspect.GetUnanswered(),
			})
		}
		decoded.Crashes = append(decoded.Crashes, crash)
	}
	for _, served := range evidence.GetServed() {
		decoded.Served = append(decoded.Served, quarantine.Served{Part: served.GetPart(), At: before(now, served.GetAgeMs())})
	}
	return decoded
}

// before returns the time that lies a number of milliseconds before now.
func before(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}
