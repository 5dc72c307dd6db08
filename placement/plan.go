package placement

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
)

// missingLoad is a model or adapter that an upstream has to load for a service.
type missingLoad struct {
	kind pb.OrderKind
	// subject is the name of the model or adapter.
	subject string
	version string
}

// plan issues the orders that the services need, as far as their minimums of
// serving upstreams allow.
func (p *Planner) plan(now time.Time) {
	for _, service := range p.services {
		if service.GetKind() == pb.ServiceKind_SERVICE_MODEL {
			p.planService(now, service)
		}
	}
	p.replanAfterPauses(now)
}

// replanAfterPauses requests another plan while an upstream is paused, because no
// input reports the end of a pause.
func (p *Planner) replanAfterPauses(now time.Time) {
	for _, u := range p.upstreams {
		if u.pausedUntil.After(now) {
			p.planNeeded = true
			return
		}
	}
}

func (p *Planner) planService(now time.Time, service *pb.Service) {
	candidates := p.candidates(service)
	allowed := changesAllowed(service, candidates)
	for _, u := range candidates {
		load, missing := firstMissingLoad(service, u.report)
		if !missing || u.pendingChange != "" || u.report.GetDraining() || u.pausedUntil.After(now) {
			continue
		}
		if servesNow(service, u) {
			if allowed <= 0 {
				continue
			}
			allowed--
		}
		p.issue(u, load)
	}
}

// candidates returns the upstreams that offer a service, in the order of their
// IDs.
func (p *Planner) candidates(service *pb.Service) []*upstreamState {
	var found []*upstreamState
	for _, report := range p.Upstreams() {
		if slices.Contains(report.GetServices(), service.GetName()) {
			found = append(found, p.upstreams[report.GetUpstream()])
		}
	}
	return found
}

// servesNow reports whether an upstream serves requests of a service now, with any
// version of the model.
func servesNow(service *pb.Service, u *upstreamState) bool {
	if u.pendingChange != "" || u.report.GetDraining() || u.report.GetOutstanding() != nil {
		return false
	}
	return slices.Contains(u.report.GetModels(), service.GetModel())
}

// changesAllowed returns how many of the upstreams that serve a service now may get
// an order at the same time. Without a minimum, one of several keeps serving.
func changesAllowed(service *pb.Service, candidates []*upstreamState) int {
	count := 0
	for _, u := range candidates {
		if servesNow(service, u) {
			count++
		}
	}
	minimum := int(service.GetMinUpstreams())
	if minimum == 0 && len(candidates) > 1 {
		minimum = 1
	}
	return count - minimum
}

// firstMissingLoad returns the first model or adapter that an upstream has to load
// for a service, and whether there is one.
func firstMissingLoad(service *pb.Service, report *pb.UpstreamReport) (missingLoad, bool) {
	if service.GetModel() != "" && !hasModelVersion(service, report) {
		return missingLoad{pb.OrderKind_ORDER_LOAD_MODEL, service.GetModel(), service.GetVersion()}, true
	}
	for _, adapter := range service.GetAdapters() {
		if !slices.Contains(report.GetAdapters(), adapter) {
			return missingLoad{pb.OrderKind_ORDER_LOAD_ADAPTER, adapter, service.GetVersion()}, true
		}
	}
	return missingLoad{}, false
}

// hasModelVersion reports whether an upstream has loaded the model of a service in
// its version. A service without a version accepts any.
func hasModelVersion(service *pb.Service, report *pb.UpstreamReport) bool {
	if !slices.Contains(report.GetModels(), service.GetModel()) {
		return false
	}
	return service.GetVersion() == "" || service.GetVersion() == report.GetVersion()
}

// issue puts out the order for a load and marks it as pending.
func (p *Planner) issue(u *upstreamState, load missingLoad) {
	u.pendingChange = p.changeID(u, load)
	p.out.Put(IssueOrder{Issue: &pb.OrderIssue{
		ChangeId: u.pendingChange,
		Order: &pb.Order{
			Upstream:    u.report.GetUpstream(),
			Kind:        load.kind,
			Subject:     load.subject,
			Version:     load.version,
			WeightBytes: p.options.WeightBytes,
		},
		WeightBytesPerSecond: p.options.WeightBytesPerSecond,
		WeightBurstBytes:     p.options.WeightBurstBytes,
	}})
}
