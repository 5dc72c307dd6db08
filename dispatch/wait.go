package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// expectedWait estimates how long an unbound request waits for a slot. The bound
// requests ahead of it delay it by their number, but take no more than the share of
// their version of the slots that become free.
func (p *Pool) expectedWait(now time.Time, service string, ahead int, boundAhead map[string]int) time.Duration {
	slots, all := p.slotsByVersion(service)
	versions := slices.SortedFunc(maps.Keys(boundAhead), func(a, b string) int {
		return cmp.Or(cmp.Compare(boundAhead[a]*slots[b], boundAhead[b]*slots[a]), cmp.Compare(a, b))
	})
	usable := all
	for _, version := range versions {
		usable -= slots[version]
	}
	// The versions are added in the order in which their requests will all have slots.
	wait := p.shareOfWait(now, service, ahead+1, usable, all)
	for _, version := range versions {
		ahead += boundAhead[version]
		usable += slots[version]
		wait = min(wait, p.shareOfWait(now, service, ahead+1, usable, all))
	}
	return wait
}

// shareOfWait estimates the time until a number of slots become free on upstreams with
// the given part of all slots.
func (p *Pool) shareOfWait(now time.Time, service string, freed, usable, all int) time.Duration {
	if usable <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(p.timeUntilFree(now, service, freed)) * float64(all) / float64(usable))
}

// slotsByVersion returns the slots of a service's ready upstreams, by software version
// and in total.
func (p *Pool) slotsByVersion(service string) (slots map[string]int, all int) {
	slots = make(map[string]int)
	// Most upstreams have the version of the one before.
	version, ofVersion := "", 0
	for _, u := range p.sortedUpstreams {
		if u.Service != service || !u.accepts() {
			continue
		}
		if u.SoftwareVersion != version {
			slots[version] += ofVersion
			version, ofVersion = u.SoftwareVersion, 0
		}
		ofVersion += u.Slots
		all += u.Slots
	}
	slots[version] += ofVersion
	return slots, all
}
