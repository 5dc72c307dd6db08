package quarantine

import "time"

// maxRecentParts bounds each of the two generations of recentParts.
const maxRecentParts = 1 << 13

// recentParts holds when parts were last served, for at least servedWindow unless there
// are very many. The older generation is dropped when the younger one is full or old.
type recentParts struct {
	young, old map[string]time.Time
	youngSince time.Time
}

func (r *recentParts) add(now time.Time, part string) {
	if r.young == nil || len(r.young) >= maxRecentParts || now.Sub(r.youngSince) >= servedWindow {
		r.old, r.young, r.youngSince = r.young, make(map[string]time.Time), now
	}
	r.young[part] = now
}

// last returns the latest known time at which a part was served.
func (r *recentParts) last(part string) (time.Time, bool) {
	if at, known := r.young[part]; known {
		return at, true
	}
	at, known := r.old[part]
	return at, known
}
