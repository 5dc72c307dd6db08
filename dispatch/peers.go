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
	held, known := p.reports[report.Peer]
	if known && report.Incarnation == held.Incarnation && report.Sequence <= held.Sequence {
		return
	}
	p.reports[report.Peer] = peerReport{report, now}
	p.countPeers()
	p.advance(now)
}

// expirePeers drops the reports of daemons that are silent.
func (p *Pool) expirePeers(now time.Time) {
	dropped := false
	for peer, report := range p.reports {
		if now.Sub(report.received) > p.options.PeerTimeout {
			delete(p.reports, peer)
			dropped = true
		}
	}
	if dropped {
		p.countPeers()
	}
}

// countPeers sums the reports up for each upstream.
func (p *Pool) countPeers() {
	for _, u := range p.upstreams {
		u.peers = [classes]int{}
		u.peersSuspectUntil, u.peersFailures = time.Time{}, 0
	}
	for _, report := range p.reports {
		trusted := report.DataCentre == p.options.DataCentre && p.plausible(report.Loads)
		for _, load := range report.Loads {
			u, known := p.upstreams[load.Upstream]
			if !known {
				continue
			}
			u.peers[Online] += load.Online
			u.peers[Batch] += load.Batch
			if trusted {
				u.heardOf(report.received, load)
			}
		}
	}
}

// Loads returns the grants that this pool has given out, and its suspicions.
func (p *Pool) Loads(now time.Time) []UpstreamLoad {
	var loads []UpstreamLoad
	for _, u := range p.order {
		suspect, failures := u.opinion(now)
		if u.own != [classes]int{} || failures > 0 {
			loads = append(loads, UpstreamLoad{u.ID, u.own[Online], u.own[Batch], suspect, failures})
		}
	}
	return loads
}
