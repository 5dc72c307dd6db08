package dispatch

import "time"

// UpstreamLoad is the load of one daemon on an upstream, and its view of the
// upstream's health.
type UpstreamLoad struct {
	Upstream string
	// Online and Batch count the requests in flight.
	Online int
	Batch  int
	// Tokens is the memory of the upstream that these may need.
	Tokens int
	// SuspectFor is the time for which the upstream remains suspect because it
	// failed requests of the daemon.
	SuspectFor time.Duration
	// Failures is the daemon's failure count of the upstream.
	Failures int
	// Leaving is set if the upstream told the daemon in an answer that it leaves,
	// LeavingStartUnixMs is its start time then, zero if unknown.
	Leaving            bool
	LeavingStartUnixMs uint64
	// Rate is what the daemon tells of the upstream's rate limit.
	Rate UpstreamRate
	// Speed is what the daemon tells of the upstream's speed.
	Speed UpstreamSpeed
}

// LoadReport is the load report of another daemon, or the sum of the reports of
// all daemons of another data centre.
type LoadReport struct {
	Peer string
	// Incarnation identifies a start of the daemon. Sequence increases with each
	// report of one incarnation.
	Incarnation uint64
	Sequence    uint64
	DataCentre  string
	// Summary is set for the sum of the reports of all daemons of DataCentre.
	Summary bool
	Loads   []UpstreamLoad
}

// peerReport is the latest load report of another daemon with its arrival time.
type peerReport struct {
	LoadReport
	received time.Time
}

func (r *LoadReport) suspects() bool {
	for _, load := range r.Loads {
		if load.SuspectFor > 0 || load.Failures > 0 {
			return true
		}
	}
	return false
}

// ApplyLoadReport stores the load report of another daemon, unless it is older
// than the stored one. It then grants queued requests.
func (p *Pool) ApplyLoadReport(now time.Time, report LoadReport) {
	p.applyLeavingNotices(now, report)
	for _, load := range report.Loads {
		if u, known := p.upstreams[load.Upstream]; known && load.Tokens > 0 {
			p.recordClaim(now, u.Service, u.Slots, load.Online+load.Batch, load.Tokens)
		}
	}
	p.applyRateNotices(now, report)
	stored, known := p.peerReports[report.Peer]
	if known && report.Incarnation == stored.Incarnation && report.Sequence <= stored.Sequence {
		return
	}
	if !p.dropCovered(now, report) {
		return
	}
	if !known {
		p.peersChange++
	}
	p.peerReports[report.Peer] = peerReport{report, now}
	p.applySpeeds(now, report)
	if report.Summary {
		p.applySummaryRates(now, stored.LoadReport, report)
		p.setSummarized(report.DataCentre, true)
	} else {
		p.countPeerRequests(now, report)
	}
	if stored.suspects() || report.suspects() {
		p.applyPeerReports()
	} else {
		p.addPeerGrants(stored.Loads, -1)
		p.addPeerGrants(report.Loads, 1)
	}
	if report.Summary {
		p.spareShare[report.DataCentre] = p.freeShare(report.DataCentre)
	}
	p.grantQueued(now)
}

// dropCovered keeps the loads of a data centre from counting twice, in a summary
// and in the reports of its daemons: a summary replaces the reports of the data
// centre, and these are ignored while the summary is recent. It reports whether the
// new report counts.
func (p *Pool) dropCovered(now time.Time, report LoadReport) bool {
	if report.DataCentre == p.options.DataCentre {
		return true
	}
	for peer, stored := range p.peerReports {
		if stored.DataCentre != report.DataCentre || stored.Summary == report.Summary {
			continue
		}
		if stored.Summary && now.Sub(stored.received) < p.options.SummaryTimeout {
			return false
		}
		p.dropReport(peer, stored)
		p.addPeerGrants(stored.Loads, -1)
	}
	return true
}

// freeShare returns the share of free slots of the ready upstreams of a data centre.
func (p *Pool) freeShare(dataCentre string) float64 {
	slots, free := 0, 0
	for _, u := range p.sortedUpstreams {
		if u.DataCentre == dataCentre && u.accepts() {
			slots += u.Slots
			free += max(0, u.Slots-u.online())
		}
	}
	return float64(free) / float64(max(1, slots))
}

func (p *Pool) dropReport(peer string, report peerReport) {
	delete(p.peerReports, peer)
	p.peersChange++
	if report.Summary {
		p.setSummarized(report.DataCentre, false)
	}
}

// setSummarized records whether the loads of a data centre are known from a summary only.
func (p *Pool) setSummarized(dataCentre string, summarized bool) {
	if p.summarized[dataCentre] == summarized {
		return
	}
	if summarized {
		p.summarized[dataCentre] = true
	} else {
		delete(p.summarized, dataCentre)
	}
	for _, u := range p.sortedUpstreams {
		if u.DataCentre == dataCentre {
			u.coarse = summarized
		}
	}
}

// expirePeers drops reports older than PeerTimeout.
func (p *Pool) expirePeers(now time.Time) {
	dropped := false
	for peer, report := range p.peerReports {
		if now.Sub(report.received) > p.options.PeerTimeout {
			p.dropReport(peer, report)
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
		u.peerGrants, u.peerTokens = [numClasses]int{}, 0
		u.peerSuspectUntil, u.peerFailures = time.Time{}, 0
	}
	for _, report := range p.peerReports {
		p.addPeerGrants(report.Loads, 1)
		if report.DataCentre != p.options.DataCentre || !p.plausibleSuspicions(report.Loads) {
			continue
		}
		for _, load := range report.Loads {
			if u, known := p.upstreams[load.Upstream]; known {
				u.applyPeerLoad(report.received, load)
			}
		}
	}
}

// addPeerGrants adds the loads of another daemon to the peer grants, or subtracts
// them if sign is -1.
func (p *Pool) addPeerGrants(loads []UpstreamLoad, sign int) {
	for _, load := range loads {
		if u, known := p.upstreams[load.Upstream]; known {
			u.peerGrants[Online] += sign * load.Online
			u.peerGrants[Batch] += sign * load.Batch
			u.peerTokens += sign * load.Tokens
		}
	}
}

// Loads returns this pool's requests in flight and failures by upstream, for the
// load report to other daemons. Observations of speeds are told once.
func (p *Pool) Loads(now time.Time) []UpstreamLoad {
	var loads []UpstreamLoad
	for _, u := range p.sortedUpstreams {
		suspectFor, ownFailures := u.ownSuspicion(now)
		load := UpstreamLoad{Upstream: u.ID, Online: u.ownGrants[Online], Batch: u.ownGrants[Batch], SuspectFor: suspectFor, Failures: ownFailures, Rate: u.ownRate(now), Speed: p.takeSpeed(now, u)}
		if p.countsMemory(now, u.Service) {
			load.Tokens = u.ownTokens
		}
		if p.sharesLeaving(now, u) {
			load.Leaving, load.LeavingStartUnixMs = true, u.StartUnixMs
		}
		if u.ownGrants != [numClasses]int{} || ownFailures > 0 || load.Leaving || !load.Rate.empty() || load.Speed.Events > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// DataCentreLoads returns the requests in flight of all daemons of this data centre
// by upstream, for the summary to other data centres, and the rate limits and speeds of its
// upstreams.
// It has no failures: these are shared within a data centre only.
func (p *Pool) DataCentreLoads(now time.Time) []UpstreamLoad {
	sums := make(map[string][numClasses]int)
	tokens := make(map[string]int)
	for _, report := range p.peerReports {
		if report.DataCentre != p.options.DataCentre {
			continue
		}
		for _, load := range report.Loads {
			sum := sums[load.Upstream]
			sum[Online] += load.Online
			sum[Batch] += load.Batch
			sums[load.Upstream] = sum
			tokens[load.Upstream] += load.Tokens
		}
	}
	var loads []UpstreamLoad
	for _, u := range p.sortedUpstreams {
		sum := sums[u.ID]
		sum[Online] += u.ownGrants[Online]
		sum[Batch] += u.ownGrants[Batch]
		load := UpstreamLoad{Upstream: u.ID, Online: sum[Online], Batch: sum[Batch]}
		if p.countsMemory(now, u.Service) {
			load.Tokens = tokens[u.ID] + u.ownTokens
		}
		if u.DataCentre == p.options.DataCentre {
			load.Rate = u.knownRate(now)
			load.Speed = p.summarizedSpeed(now, u)
		}
		if sum != [numClasses]int{} || !load.Rate.empty() || load.Speed.Events > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}
