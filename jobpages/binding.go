package jobpages

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/origins"
)

// maxVersionWait is how long an item with output waits for a slot of the software
// version that began it while other versions have slots. Then it starts from the
// beginning at any.
const maxVersionWait = 2 * time.Second

// RestartReason says why an item with output may run at another software version, where
// it starts from the beginning.
type RestartReason string

// The reasons to start from the beginning.
const (
	// VersionGone means that no upstream of the version is ready, or that the route no
	// longer leads to the service.
	VersionGone RestartReason = "version_gone"
	// VersionBusy means that the item has waited for maxVersionWait.
	VersionBusy RestartReason = "version_busy"
	// VersionUnknown means that a leader of an older build saved the output.
	VersionUnknown RestartReason = "version_unknown"
)

// BoundTo returns the only origin at which the next run of an item may start. The reason
// is empty if the item is bound to it or has no output; otherwise the run may start
// anywhere, but must start from the beginning at another origin.
func (s *Scheduler) BoundTo(now time.Time, key ItemKey, services []string) (origin origins.Origin, bound bool, reason RestartReason) {
	progress := s.progress[key]
	switch {
	case progress == nil || progress.EventCount == 0:
		return origins.Origin{}, false, ""
	case progress.Service == "":
		return origins.Origin{}, false, VersionUnknown
	case !slices.Contains(services, progress.Service):
		return origins.Origin{}, false, VersionGone
	case progress.versionWaitIsOver(now):
		return progress.Origin, false, VersionBusy
	}
	return progress.Origin, true, ""
}

func (p *ItemProgress) versionWaitIsOver(now time.Time) bool {
	return !p.versionBusySince.IsZero() && now.Sub(p.versionBusySince) >= maxVersionWait
}

// DiscardOtherOutput discards the output of an item that a run at an origin cannot go
// on with. It returns the number of discarded events.
func (s *Scheduler) DiscardOtherOutput(key ItemKey, origin origins.Origin) int {
	progress := s.progress[key]
	if progress == nil || progress.EventCount == 0 || progress.fits(origin) {
		return 0
	}
	events := progress.EventCount
	progress.discardOutput()
	return events
}

// fits reports whether a run at an origin can go on with the output. Output of unknown
// origin goes on only while engines report no version.
func (p *ItemProgress) fits(origin origins.Origin) bool {
	return p.Origin == origin || p.Service == "" && origin.SoftwareVersion == ""
}

func (p *ItemProgress) discardOutput() {
	p.Text, p.EventCount, p.LastEventID, p.SavedBytes = nil, 0, "", 0
	p.Origin, p.Restarted, p.versionBusySince = origins.Origin{}, true, time.Time{}
}

// AddOutput adds the data of events, separated by line feeds, that a run at an origin
// sent.
func (p *ItemProgress) AddOutput(origin origins.Origin, data []byte, events int, lastEventID string) {
	if p.EventCount > 0 {
		p.Text = append(p.Text, '\n')
	} else {
		p.Origin = origin
	}
	p.Text = append(p.Text, data...)
	p.EventCount += events
	p.LastEventID = lastEventID
	p.versionBusySince = time.Time{}
}

// UnsavedPart returns the output of a completed item that is not saved, and the number
// of saved bytes that precede it.
func (p *ItemProgress) UnsavedPart() (base int, text []byte) {
	if p.Restarted {
		return 0, p.Text
	}
	return p.SavedBytes, p.Text[p.SavedBytes:]
}

// StartRound is one search for items that can start. It remembers which origins had no
// slot, so that the other items that are bound to them cost no further search.
type StartRound struct {
	scheduler *Scheduler
	now       time.Time
	// waiting holds the items that wait for a slot of an origin.
	waiting map[origins.Origin][]ItemKey
	// started holds the origins at which items started that were not bound.
	started map[origins.Origin]bool
}

// NewStartRound begins a search.
func (s *Scheduler) NewStartRound(now time.Time) *StartRound {
	return &StartRound{scheduler: s, now: now, waiting: make(map[origins.Origin][]ItemKey), started: make(map[origins.Origin]bool)}
}

// MustWait reports whether an item is bound to an origin that had no slot.
func (r *StartRound) MustWait(key ItemKey) bool {
	progress := r.scheduler.progress[key]
	if progress == nil || progress.EventCount == 0 || progress.versionWaitIsOver(r.now) {
		return false
	}
	waiting, refused := r.waiting[progress.Origin]
	if refused {
		r.waiting[progress.Origin] = append(waiting, key)
	}
	return refused
}

// RecordBusy records that an origin had no slot for an item that is bound to it.
func (r *StartRound) RecordBusy(origin origins.Origin, key ItemKey) {
	r.waiting[origin] = append(r.waiting[origin], key)
}

// RecordStart records that an item that was not bound got a slot.
func (r *StartRound) RecordStart(origin origins.Origin) {
	r.started[origin] = true
}

// End ends the search. For items whose version had no slot, maxVersionWait begins if
// another version of the service had one: an item that was not bound got it, or hasSlot
// reports it.
func (r *StartRound) End(hasSlot func(service string) bool) {
	for origin, keys := range r.waiting {
		if !r.startedAtOther(origin) && !hasSlot(origin.Service) {
			continue
		}
		for _, key := range keys {
			if progress := r.scheduler.progress[key]; progress != nil && progress.versionBusySince.IsZero() {
				progress.versionBusySince = r.now
			}
		}
	}
}

// startedAtOther reports whether an item that was not bound started at another version
// of the service.
func (r *StartRound) startedAtOther(origin origins.Origin) bool {
	for started := range r.started {
		if started.Service == origin.Service && started != origin {
			return true
		}
	}
	return false
}
