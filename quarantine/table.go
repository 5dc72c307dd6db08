package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// MinServedEvents is the number of events of one attempt from which on the parts of its
// prompt count as served.
const MinServedEvents = 3

const (
	// minCrashes is the number of crashes at which a part is quarantined, if one of them
	// is repeated.
	minCrashes = 3
	// minUnansweredCrashes takes the place of minCrashes for shared parts if fewer than
	// minCrashes engines had begun to answer. Requests that wait at an engine break off
	// unanswered too, whatever it crashed on.
	minUnansweredCrashes = 5
	// evidenceAge is the age at which a crash no longer counts. It bounds the time of a
	// quarantine after the last crash.
	evidenceAge = 10 * time.Minute
	// servedWindow is the time for which a served part is not suspected.
	servedWindow = time.Minute
	// maxCrashes and maxSuspects bound the evidence and the suspects of a crash. Beyond
	// them, the oldest crashes are dropped and further suspects ignored.
	maxCrashes  = 256
	maxSuspects = 64
)

// requestPrefix begins the parts that stand for whole requests. The IDs of parts of prompts
// have no colon.
const requestPrefix = "request:"

// RequestPart returns the part that a request has in common only with its repeats, from a
// digest of its content.
func RequestPart(digest string) string { return requestPrefix + digest }

func isRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// Suspect is a part of a prompt that an engine had begun to answer when it was lost.
type Suspect struct {
	Part string
	// Position is the index of the part in its prompt, the highest if there are several.
	Position int
	// Repeated is set if the engine was sent the prompt by a daemon that knew of an
	// earlier crash with the part. Engines that are lost together have a common cause
	// outside of the requests; an engine that is lost later, on the same part, hardly has.
	Repeated bool
	// Unanswered is set if no engine is known to have begun its answer to a prompt with the
	// part before this crash.
	Unanswered bool
}

// Crash is the loss of one start of an engine.
type Crash struct {
	Upstream    string
	StartUnixMs uint64
	At          time.Time
	Suspects    []Suspect
}

// Served is the latest time at which an engine is known to have answered with a part.
type Served struct {
	Part string
	At   time.Time
}

// Evidence is what daemons tell each other.
type Evidence struct {
	Crashes []Crash
	Served  []Served
}

// Verdict is a part in quarantine.
type Verdict struct {
	Part string
	// Crashes is the number of crashes that the part explains.
	Crashes int
	// Until is the time at which the quarantine ends if no further crash is recorded.
	Until time.Time
}

// engineStart identifies one start of an engine.
type engineStart struct {
	upstream    string
	startUnixMs uint64
}

type crashRecord struct {
	at time.Time
	// learnedAt is when this daemon learned of the crash.
	learnedAt time.Time
	suspects  map[string]Suspect
	// change is the number of the latest change of the record.
	change uint64
}

type servedRecord struct {
	at     time.Time
	change uint64
}

// Table holds the evidence of one daemon.
type Table struct {
	crashes map[engineStart]*crashRecord
	// suspectCount holds the number of crashes of which a part is suspected, accusations
	// the number of those of which it is not cleared. Only suspects are in served.
	suspectCount map[string]int
	accusations  map[string]int
	served       map[string]servedRecord
	// recent holds the parts that this daemon has seen served, recentRequests those that
	// stand for whole requests: there are many more of them.
	recent         recentParts
	recentRequests recentParts
	lastChange     uint64
	// verdicts holds the parts in quarantine as of evaluatedChange, valid until
	// validUntil.
	verdicts        map[string]Verdict
	evaluatedChange uint64
	validUntil      time.Time
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{
		crashes: make(map[engineStart]*crashRecord), suspectCount: make(map[string]int), accusations: make(map[string]int),
		served: make(map[string]servedRecord),
	}
}

// Prompt is a prompt that an engine had when it was lost.
type Prompt struct {
	// Parts are its shared parts in their order.
	Parts []string
	// SentAt is when it was sent to the engine.
	SentAt time.Time
	// Unanswered is set if the engine had not begun to answer.
	Unanswered bool
}

// RecordCrash records that a start of an engine was lost with a prompt. Parts that this
// daemon has seen served are no suspects.
func (t *Table) RecordCrash(now time.Time, upstream string, startUnixMs uint64, prompt Prompt) {
	crash := Crash{Upstream: upstream, StartUnixMs: startUnixMs, At: now}
	for position, part := range prompt.Parts {
		if served, ok := t.recentOf(part).last(part); ok && clears(served, now) {
			continue
		}
		crash.Suspects = append(crash.Suspects, Suspect{part, position, t.crashKnown(part, prompt.SentAt), prompt.Unanswered})
	}
	t.Merge(now, Evidence{Crashes: []Crash{crash}})
}

func (t *Table) recentOf(part string) *recentParts {
	if isRequest(part) {
		return &t.recentRequests
	}
	return &t.recent
}

// crashKnown reports whether this daemon knew at a time of a crash with a part.
func (t *Table) crashKnown(part string, at time.Time) bool {
	for _, record := range t.crashes {
		if t.accuses(record, part) && !record.learnedAt.After(at) {
			return true
		}
	}
	return false
}

// RecordServed records that an engine answers a prompt with some shared parts.
func (t *Table) RecordServed(now time.Time, parts []string) {
	for _, part := range parts {
		t.recentOf(part).add(now, part)
		t.addServed(Served{part, now})
	}
}

// Merge adds the evidence of another daemon.
func (t *Table) Merge(now time.Time, evidence Evidence) {
	t.expire(now)
	for _, crash := range evidence.Crashes {
		if now.Sub(crash.At) < evidenceAge {
			t.addCrash(now, crash)
		}
	}
	for _, served := range evidence.Served {
		t.addServed(served)
	}
}

func (t *Table) addCrash(now time.Time, crash Crash) {
	if len(crash.Suspects) == 0 {
		return
	}
	key := engineStart{crash.Upstream, crash.StartUnixMs}
	record, known := t.crashes[key]
	if !known {
		if len(t.crashes) == maxCrashes {
			t.remove(t.oldest())
		}
		record = &crashRecord{at: crash.At, learnedAt: now, suspects: make(map[string]Suspect)}
		t.crashes[key] = record
	}
	for _, suspect := range crash.Suspects {
		known, suspected := record.suspects[suspect.Part]
		switch {
		case suspected:
			suspect.Position = max(suspect.Position, known.Position)
			suspect.Repeated = suspect.Repeated || known.Repeated
			suspect.Unanswered = suspect.Unanswered && known.Unanswered
			if suspect == known {
				continue
			}
		case len(record.suspects) == maxSuspects:
			continue
		default:
			t.suspectCount[suspect.Part]++
			if !t.cleared(record, suspect.Part) {
				t.accusations[suspect.Part]++
			}
		}
		record.suspects[suspect.Part] = suspect
		t.lastChange++
		record.change = t.lastChange
		if served, ok := t.recentOf(suspect.Part).last(suspect.Part); ok {
			t.addServed(Served{suspect.Part, served})
		}
	}
}

// addServed records when a part was served if that clears it of a crash. Other times are
// no news: daemons would pass them on to each other for as long as the part is in use.
func (t *Table) addServed(served Served) {
	if t.accusations[served.Part] == 0 {
		return
	}
	cleared := 0
	for _, record := range t.crashes {
		if t.accuses(record, served.Part) && clears(served.At, record.at) {
			cleared++
		}
	}
	if cleared == 0 {
		return
	}
	t.accusations[served.Part] -= cleared
	t.lastChange++
	t.served[served.Part] = servedRecord{served.At, t.lastChange}
}

// accuses reports whether a part is suspected of a crash and not cleared of it.
func (t *Table) accuses(record *crashRecord, part string) bool {
	_, suspected := record.suspects[part]
	return suspected && !t.cleared(record, part)
}

// cleared reports whether a suspect was served after a crash, or shortly before it.
func (t *Table) cleared(record *crashRecord, part string) bool {
	served, ok := t.served[part]
	return ok && clears(served.at, record.at)
}

// clears reports whether a part that was served at a time is cleared of a crash.
func clears(served, crash time.Time) bool { return crash.Sub(served) < servedWindow }

func (t *Table) oldest() engineStart {
	return slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), t.byTime)
}

func (t *Table) byTime(a, b engineStart) int {
	return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.startUnixMs, b.startUnixMs))
}

func (t *Table) remove(key engineStart) {
	record := t.crashes[key]
	for part := range record.suspects {
		if t.accuses(record, part) {
			t.accusations[part]--
		}
		t.suspectCount[part]--
		if t.suspectCount[part] == 0 {
			delete(t.suspectCount, part)
			delete(t.accusations, part)
			delete(t.served, part)
		}
	}
	delete(t.crashes, key)
}

func (t *Table) expire(now time.Time) {
	for key, record := range t.crashes {
		if now.Sub(record.at) >= evidenceAge {
			t.remove(key)
		}
	}
}

// LastChange returns the number of the latest change of the evidence.
func (t *Table) LastChange() uint64 { return t.lastChange }

// Since returns the evidence that changed after a change, ordered.
func (t *Table) Since(change uint64) Evidence {
	var evidence Evidence
	for _, key := range slices.SortedFunc(maps.Keys(t.crashes), t.byTime) {
		record := t.crashes[key]
		if record.change <= change {
			continue
		}
		crash := Crash{Upstream: key.upstream, StartUnixMs: key.startUnixMs, At: record.at}
		for _, part := range slices.Sorted(maps.Keys(record.suspects)) {
			crash.Suspects = append(crash.Suspects, record.suspects[part])
		}
		evidence.Crashes = append(evidence.Crashes, crash)
	}
	for _, part := range slices.Sorted(maps.Keys(t.served)) {
		if record := t.served[part]; record.change > change {
			evidence.Served = append(evidence.Served, Served{part, record.at})
		}
	}
	return evidence
}
