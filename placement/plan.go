package placement

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// need is one change that an upstream lacks for a service.
type need struct {
	kind    pb.OrderKind
	subject string
	version string
}

// plan issues the orders that the services need and their minimums allow.
func (p *Planner) plan(now time.Time) {
	for _, service := range p.services {
		if service.GetKind() == pb.ServiceKind_SERVICE_MODEL {
			p.planService(now, service)
		}
	}
	p.waitForPauses(now)
}

// waitForPauses has the next plan look again at upstreams that pause.
func (p *Planner) waitForPauses(now time.Time) {
	for _, u := range p.upstreams {
		if u.notUntil.After(now) {
			p.changed = true
			return
		}
	}
}

func (p *Planner) planService(now time.Time, service *pb.Service) {
	candidates := p.candidates(service)
	spare := spareOf(service, candidates)
	for _, u := range candidates {
		wanted, missing := firstNeed(service, u.report)
		if !missing || u.pending != "" || u.report.GetDraining() || u.notUntil.After(now) {
			continue
		}
		if usable(service, u) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		p.issue(u, wanted)
	}
}

// candidates returns the upstreams that offer a service, in the order of their
// IDs.
func (p *Planner) candidates(service *pb.Service) []*upstream {
	var found []*upstream
	for _, report := range p.Upstreams() {
		if slices.Contains(report.GetServices(), service.GetName()) {
			found = append(found, p.upstreams[report.GetUpstream()])
		}
	}
	return found
}

// usable reports whether an upstream answers requests of a service now, be it
// with an earlier version.
func usable(service *pb.Service, u *upstream) bool {
	if u.pending != "" || u.report.GetDraining() || u.report.GetOutstanding() != nil {
		return false
	}
	return slices.Contains(u.report.GetModels(), service.GetModel())
}

// spareOf returns how many usable upstreams may be changed at the same time.
// One upstream is always kept when there are several.
func spareOf(service *pb.Service, candidates []*upstream) int {
	count := 0
	for _, u := range candidates {
		if usable(service, u) {
			count++
		}
	}
	keep := int(service.GetMinUpstreams())
	if keep == 0 && len(candidates) > 1 {
		keep = 1
	}
	return count - keep
}

// firstNeed returns the first change that an upstream lacks for a service.
func firstNeed(service *pb.Service, report *pb.UpstreamReport) (need, bool) {
	if service.GetModel() != "" && !servesModel(service, report) {
		return need{pb.OrderKind_ORDER_LOAD_MODEL, service.GetModel(), service.GetVersion()}, true
	}
	for _, adapter := range service.GetAdapters() {
		if !slices.Contains(report.GetAdapters(), adapter) {
			return need{pb.OrderKind_ORDER_LOAD_ADAPTER, adapter, service.GetVersion()}, true
		}
	}
	return need{}, false
}

// servesModel reports whether an upstream holds the model in the wanted version.
// A service without a version takes any.
func servesModel(service *pb.Service, report *pb.UpstreamReport) bool {
	if !slices.Contains(report.GetModels(), service.GetModel()) {
		return false
	}
	return service.GetVersion() == "" || service.GetVersion() == report.GetVersion()
}

func (p *Planner) issue(u *upstream, wanted need) {
	u.pending = p.changeID(u, wanted)
	p.out.Put(IssueOrder{Issue: &pb.OrderIssue{
		ChangeId: u.pending,
		Order: &pb.Order{
			Upstream:    u.report.GetUpstream(),
			Kind:        wanted.kind,
			Subject:     wanted.subject,
			Version:     wanted.version,
			WeightBytes: p.options.WeightBytes,
		},
		WeightBytesPerSecond: p.options.WeightBytesPerSecond,
		WeightBurstBytes:     p.options.WeightBurstBytes,
	}})
}
