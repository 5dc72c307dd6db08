package dispatch

import "time"

// UpstreamLoad is the load of one daemon on an upstream, and its view of the
// upstream's health.
type UpstreamLoad struct {
	Upstream string
	// Online and Batch count the requests in flight.
	Online int
	Batch  int
	// SuspectFor is the time for which the upstream remains suspect because it
	// failed requests of the daemon.
	SuspectFor time.Duration
	// Failures is the daemon's failure count of the upstream.
	Failures int
}

// LoadReport is the load report of another daemon.
type LoadReport struct {
	Peer string
	// Incarnation identifies a start of the daemon. Sequence increases with each
	// report of one incarnation.
	Incarnation uint64
	Sequence    uint64
	DataCentre  string
	Loads       []UpstreamLoad
}

// peerReport is the latest load report of another daemon with its arrival time.
type peerReport struct {
	LoadReport
	received time.Time
}

// ApplyLoadReport stores the load report of another daemon, unless it is older
// than the stored one. It then grants queued requests.
func (p *Pool) ApplyLoadReport(now time.Time, report LoadReport) {
	stored, known := p.peerReports[report.Peer]
	if known && report.Incarnation == stored.Incarnation && report.Sequence <= stored.Sequence {
		return
	}
	p.peerReports[report.Peer] = peerReport{report, now}
	p.applyPeerReports()
	p.grantQueued(now)
}

// expirePeers drops reports older than PeerTimeout.
func (p *Pool) expirePeers(now time.Time) {
	dropped := false
	for peer, report := range p.peerReports {
		if now.Sub(report.received) > p.options.PeerTimeout {
			delete(p.peerReports, peer)
			dropped = true
		}
	}
	if dropped {
		p.applyPeerReports()
	}
}

// applyPeerReports recomputes the peer grants and peer suspicion of each upstream.
// Suspicions count only if they are plausible and come from this data centre,
// as failures seen from another one may be caused by the network.
func (p *Pool) applyPeerReports() {
	for _, u := range p.upstreams {
		u.peerGrants = [numClasses]int{}
		u.peerSuspectUntil, u.peerFailures = time.Time{}, 0
	}
	for _, report := range p.peerReports {
		trusted := report.DataCentre == p.options.DataCentre && p.plausibleSuspicions(report.Loads)
		for _, load := range report.Loads {
			u, known := p.upstreams[load.Upstream]
			if !known {
				continue
			}
			u.peerGrants[Online] += load.Online
			u.peerGrants[Batch] += load.Batch
			if trusted {
				u.applyPeerLoad(report.received, load)
			}
		}
	}
}

// Loads returns this pool's requests in flight and failures by upstream, for the
// load report to other daemons.
func (p *Pool) Loads(now time.Time) []UpstreamLoad {
	var loads []UpstreamLoad
	for _, u := range p.sortedUpstreams {
		suspectFor, ownFailures := u.ownSuspicion(now)
		if u.ownGrants != [numClasses]int{} || ownFailures > 0 {
			loads = append(loads, UpstreamLoad{u.ID, u.ownGrants[Online], u.ownGrants[Batch], suspectFor, ownFailures})
		}
	}
	return loads
}
