package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Check reports whether one of the parts of a prompt is in quarantine.
func (t *Table) Check(now time.Time, parts []string) (Verdict, bool) {
	if len(t.crashes) < minCrashes {
		return Verdict{}, false
	}
	t.evaluate(now)
	for _, part := range parts {
		if verdict, ok := t.verdicts[part]; ok {
			return verdict, true
		}
	}
	return Verdict{}, false
}

// Suspects reports whether one of the parts of a prompt is suspected of a crash, also if
// the evidence does not suffice for a quarantine.
func (t *Table) Suspects(now time.Time, parts []string) bool {
	if len(t.crashes) == 0 {
		return false
	}
	t.expire(now)
	return slices.ContainsFunc(parts, func(part string) bool { return t.accusations[part] > 0 })
}

// Verdicts returns the parts in quarantine, ordered.
func (t *Table) Verdicts(now time.Time) []Verdict {
	t.evaluate(now)
	return slices.SortedFunc(maps.Values(t.verdicts), func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
}

// evaluate determines the parts in quarantine anew if the evidence has changed. It
// repeatedly takes the part that explains most of the crashes that are left.
func (t *Table) evaluate(now time.Time) {
	if t.evaluatedChange == t.lastChange && now.Before(t.validUntil) {
		return
	}
	t.expire(now)
	t.evaluatedChange, t.validUntil = t.lastChange, now.Add(evidenceAge)
	t.verdicts = make(map[string]Verdict)
	left := slices.SortedFunc(maps.Keys(t.crashes), t.byTime)
	if len(left) > 0 {
		t.validUntil = t.crashes[left[0]].at.Add(evidenceAge)
	}
	for len(left) >= minCrashes {
		best, ok := t.bestExplanation(left)
		if !ok {
			return
		}
		t.verdicts[best.Part] = best
		left = slices.DeleteFunc(left, func(key engineStart) bool { return t.accuses(t.crashes[key], best.Part) })
	}
}

// explanation is what a part explains of a list of crashes.
type explanation struct {
	// times are those of the crashes.
	times    []time.Time
	position int
	// repeated is set if one of the crashes is repeated.
	repeated bool
	// answered is the number of crashes of engines that had begun to answer.
	answered int
}

// required is the number of crashes that a part has to explain.
func (e *explanation) required(part string) int {
	if isRequest(part) || e.answered >= minCrashes {
		return minCrashes
	}
	return minUnansweredCrashes
}

func (e *explanation) suffices(part string) bool {
	return e.repeated && len(e.times) >= e.required(part)
}

// bestExplanation returns the part that explains most of some crashes, which must be
// ordered by time, if it explains enough of them. Of parts that explain as many, it is
// the one that is later in its prompts: it is in fewer of them.
func (t *Table) bestExplanation(keys []engineStart) (Verdict, bool) {
	explanations := make(map[string]*explanation)
	for _, key := range keys {
		record := t.crashes[key]
		for part, suspect := range record.suspects {
			if t.cleared(record, part) {
				continue
			}
			e := explanations[part]
			if e == nil {
				e = &explanation{}
				explanations[part] = e
			}
			e.position = max(e.position, suspect.Position)
			e.repeated = e.repeated || suspect.Repeated
			if !suspect.Unanswered {
				e.answered++
			}
			e.times = append(e.times, record.at)
		}
	}
	maps.DeleteFunc(explanations, func(part string, e *explanation) bool { return !e.suffices(part) })
	if len(explanations) == 0 {
		return Verdict{}, false
	}
	part := slices.MinFunc(slices.Collect(maps.Keys(explanations)), func(a, b string) int {
		x, y := explanations[a], explanations[b]
		return cmp.Or(cmp.Compare(len(y.times), len(x.times)), cmp.Compare(y.position, x.position), cmp.Compare(a, b))
	})
	best := explanations[part]
	first := best.times[len(best.times)-best.required(part)]
	return Verdict{Part: part, Crashes: len(best.times), Until: first.Add(evidenceAge)}, true
}
