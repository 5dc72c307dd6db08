package dispatch

import "time"

// Load counts the requests that a daemon has at an upstream.
type Load struct {
	Upstream string
	Online   int
	Batch    int
}

// peerReport is the latest load report of another daemon.
type peerReport struct {
	sequence uint64
	received time.Time
	loads    []Load
}

// Peer stores the load report of another daemon; an older one is ignored.
func (p *Pool) Peer(now time.Time, peer string, sequence uint64, loads []Load) {
	held, known := p.reports[peer]
	if known && sequence <= held.sequence {
		return
	}
	p.reports[peer] = peerReport{sequence, now, loads}
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
	}
	for _, report := range p.reports {
		for _, load := range report.loads {
			if u, known := p.upstreams[load.Upstream]; known {
				u.peers[Online] += load.Online
				u.peers[Batch] += load.Batch
			}
		}
	}
}

// Loads returns the grants that this pool has given out.
func (p *Pool) Loads() []Load {
	var loads []Load
	for _, id := range p.order {
		if u := p.upstreams[id]; u.own != [classes]int{} {
			loads = append(loads, Load{id, u.own[Online], u.own[Batch]})
		}
	}
	return loads
}
