package dispatch

import "time"

// UpstreamLoad is what a daemon has at an upstream and thinks of it.
type UpstreamLoad struct {
	Upstream string
	// Online and Batch count the requests in flight.
	Online int
	Batch  int
	// SuspectFor is the time for which the daemon keeps requests away, because the
	// upstream failed those that it sent.
	SuspectFor time.Duration
	// Failures counts those that led to it.
	Failures int
}

// LoadReport is the load report of another daemon.
type LoadReport struct {
	Peer string
	// Incarnation tells the starts of the daemon apart, and Sequence its reports
	// since then.
	Incarnation uint64
	Sequence    uint64
	DataCentre  string
	Loads       []UpstreamLoad
}

// peerReport is the latest load report of another daemon.
type peerReport struct {
	LoadReport
	received time.Time
}

// ApplyLoadReport stores the load report of another daemon; an older one is ignored.
func (p *Pool) ApplyLoadReport(now time.Time, report LoadReport) {
	stored, known := p.peerReports[report.Peer]
	if known && report.Incarnation == stored.Incarnation && report.Sequence <= stored.Sequence {
		return
	}
	p.peerReports[report.Peer] = peerReport{report, now}
	p.applyPeerReports()
	p.grantQueued(now)
}

// expirePeers drops the reports of daemons that are silent.
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

// applyPeerReports sums the reports up for each upstream.
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

// Loads returns the grants that this pool has given out, and its suspicions.
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
