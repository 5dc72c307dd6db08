package node

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/fleet"
)

// versionSettleTime is the time for which a software version that has joined a service begins
// no streams that callers may take up. A daemon that is cut off takes its view for current for
// up to maxUpdateAge, and would take the versions that it knows for the only ones. The rest
// allows for the time that an update takes to different daemons.
const versionSettleTime = maxUpdateAge + 700*time.Millisecond

// recordJoined records which software versions of known services joined with an update.
// knownServices lists the services with versions before the update: those of a service that
// was not known may have joined long ago. The caller must hold mu.
func (v *View) recordJoined(now time.Time, knownServices map[string]bool, changed []fleet.Upstream) {
	for _, u := range changed {
		s := software{u.Service, u.SoftwareVersion}
		if v.softwareCounts[s] == 0 && knownServices[u.Service] {
			v.joinedAt[s] = now
		}
		v.setSoftware(u.ID, s)
	}
}

// knownServices lists the services with a known software version. The caller must hold mu.
func (v *View) knownServices() map[string]bool {
	services := make(map[string]bool)
	for s := range v.softwareCounts {
		services[s.service] = true
	}
	return services
}

// UnsettledVersions lists the software versions of a service that must not begin a stream
// that callers may take up, since they have just joined. It is empty if no engine of another
// version is ready: the service would refuse all streams.
func (v *View) UnsettledVersions(now time.Time, service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var unsettled []string
	for s, joinedAt := range v.joinedAt {
		switch {
		case now.Sub(joinedAt) >= versionSettleTime:
			delete(v.joinedAt, s)
		case s.service == service:
			unsettled = append(unsettled, s.version)
		}
	}
	if len(unsettled) == 0 || !v.hasReadyVersion(service, unsettled) {
		return nil
	}
	return unsettled
}

// hasReadyVersion reports whether an engine of a service is ready that has none of some
// software versions. The caller must hold mu.
func (v *View) hasReadyVersion(service string, except []string) bool {
	return v.upstreams.Any(func(u *fleet.Upstream) bool {
		return u.Service == service && u.Phase == fleet.Ready && !slices.Contains(except, u.SoftwareVersion)
	})
}
