package sidecard

import (
	"context"
	"slices"
	"time"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/fence"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
	"github.com/briarcross/briarcross/transport"
)

const (
	fenceTickInterval = 100 * time.Millisecond
	reportInterval    = 5 * time.Second
	reportTimeout     = 4 * time.Second
	orderTimeout      = 10 * time.Minute
	checkTimeout      = 2 * time.Second
)

// orderHandler hosts a fence.Fence: it executes the orders for the upstream and
// reports to the control replicas what the upstream serves.
type orderHandler struct {
	daemon *Daemon
	fence  *fence.Fence
	loop   *loop.Loop[fence.Input, fence.Output]
	// reportNow makes runReports send a report without waiting for the interval.
	reportNow chan struct{}
}

func newOrderHandler(d *Daemon) *orderHandler {
	o := &orderHandler{daemon: d, fence: fence.New(d.settings.ID), reportNow: make(chan struct{}, 1)}
	o.loop = loop.Start[fence.Input, fence.Output](o.fence, fenceTickInterval, o.executeOutput)
	return o
}

// runReports reports the upstream at each interval, or when triggered, until
// the sidecar stops.
func (o *orderHandler) runReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		o.reportUpstream()
		select {
		case <-o.daemon.ctx.Done():
			return
		case <-o.reportNow:
		case <-ticker.C:
		}
	}
}

// triggerReport makes runReports report a change without waiting for the
// interval.
func (o *orderHandler) triggerReport() {
	select {
	case o.reportNow <- struct{}{}:
	default:
	}
}

func (o *orderHandler) reportUpstream() {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, reportTimeout)
	defer cancel()
	identity, err := o.daemon.engine.Identity(ctx)
	if err != nil {
		return
	}
	settings := o.daemon.settings
	report := &pb.UpstreamReport{
		Upstream:      settings.ID,
		Incarnation:   o.daemon.identity.Incarnation,
		DataCentre:    settings.DataCentre,
		Address:       settings.Listen,
		Http:          settings.HTTP,
		Kind:          settings.Kind,
		Services:      settings.Services,
		Models:        identity.Models,
		Adapters:      identity.Adapters,
		Version:       identity.Version,
		Role:          identity.Role,
		ChecksFencing: identity.ChecksFencing,
		Draining:      o.daemon.draining.Load(),
	}
	o.loop.Do(func() { report.FencingNumber = o.fence.ConfirmedNumber() })
	response, controlErr := o.daemon.control.ReportUpstream(ctx, report)
	if controlErr == nil {
		o.loop.Post(fence.FencingNumberHint{Number: response.GetFencingNumber()})
	}
}

func (o *orderHandler) executeOutput(out fence.Output) {
	switch out := out.(type) {
	case fence.ReadOrders:
		go o.readOrders()
	case fence.Execute:
		go o.executeOrder(out.Order)
	case fence.CheckOutcome:
		go o.checkOutcome(out.Order)
	case fence.RecordFinish:
		go o.recordFinish(out.Finish)
	case fence.OrderIgnored:
		o.daemon.metrics.ordersIgnored.Inc()
	}
}

// readOrders reads the orders for the upstream, confirmed by a quorum.
func (o *orderHandler) readOrders() {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, reportTimeout)
	defer cancel()
	query := &pb.Query{Query: &pb.Query_Order{Order: &pb.OrderQuery{Upstream: o.daemon.settings.ID}}}
	result, controlErr := o.daemon.control.Query(ctx, query)
	if controlErr != nil {
		o.loop.Post(fence.ReadFailed{})
		return
	}
	o.loop.Post(fence.ReadSucceeded{Orders: result.GetOrder()})
}

var fenceOutcomes = map[engine.OrderOutcome]fence.Outcome{
	engine.OrderDone:           fence.Done,
	engine.OrderRefused:        fence.Refused,
	engine.OrderNotSent:        fence.NotSent,
	engine.OrderOutcomeUnknown: fence.OutcomeUnknown,
}

// executeOrder sends an order to the upstream. An order that requires an idle
// upstream first waits up to StopTimeout for the running requests to end.
func (o *orderHandler) executeOrder(order *pb.Order) {
	o.daemon.logger.Info("executing order", "number", order.GetFencingNumber(), "kind", order.GetKind(), "subject", order.GetSubject())
	if requiresIdle(order.GetKind()) {
		o.drainForOrder()
		defer o.undrainAfterOrder()
	}
	ctx, cancel := context.WithTimeout(o.daemon.ctx, orderTimeout)
	defer cancel()
	result := o.daemon.engine.SendOrder(ctx, order)
	o.daemon.logger.Info("order finished", "number", order.GetFencingNumber(), "outcome", result.Outcome, "reason", result.Reason)
	o.loop.Post(fence.OutcomeReported{Number: order.GetFencingNumber(), Outcome: fenceOutcomes[result.Outcome], Reason: result.Reason})
}

// requiresIdle reports whether an order must not run concurrently with requests.
func requiresIdle(kind pb.OrderKind) bool {
	return kind == pb.OrderKind_ORDER_LOAD_MODEL || kind == pb.OrderKind_ORDER_UNLOAD_MODEL || kind == pb.OrderKind_ORDER_SET_ROLE
}

// drainForOrder stops taking requests and waits until the accepted ones have
// ended, at most StopTimeout.
func (o *orderHandler) drainForOrder() {
	drained := o.daemon.coreDrained.reset()
	o.daemon.announce(pb.MemberState_MEMBER_DRAINING)
	o.daemon.core.Post(sidecar.Drain{})
	timer := time.NewTimer(o.daemon.settings.StopTimeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
	case <-o.daemon.ctx.Done():
	}
}

func (o *orderHandler) undrainAfterOrder() {
	defer o.triggerReport()
	if o.daemon.draining.Load() {
		return
	}
	o.daemon.core.Post(sidecar.Undrain{})
	o.daemon.announce(pb.MemberState_MEMBER_SERVING)
}

// checkOutcome finds out whether an order took effect from what the upstream
// serves.
func (o *orderHandler) checkOutcome(order *pb.Order) {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, checkTimeout)
	defer cancel()
	outcome := fence.OutcomeReported{Number: order.GetFencingNumber(), Outcome: fence.NotSent}
	identity, err := o.daemon.engine.Identity(ctx)
	switch {
	case err != nil:
		outcome.Outcome = fence.OutcomeUnknown
		outcome.Reason = identifier.Message(err.Error())
	case inEffect(order, identity):
		outcome.Outcome = fence.Done
	}
	o.loop.Post(outcome)
}

// inEffect reports whether the upstream is in the state that an order demands.
func inEffect(order *pb.Order, identity engine.Identity) bool {
	switch order.GetKind() {
	case pb.OrderKind_ORDER_LOAD_MODEL:
		versionMatches := order.GetVersion() == "" || order.GetVersion() == identity.Version
		return slices.Contains(identity.Models, order.GetSubject()) && versionMatches
	case pb.OrderKind_ORDER_UNLOAD_MODEL:
		return !slices.Contains(identity.Models, order.GetSubject())
	case pb.OrderKind_ORDER_LOAD_ADAPTER:
		return slices.Contains(identity.Adapters, order.GetSubject())
	case pb.OrderKind_ORDER_UNLOAD_ADAPTER:
		return !slices.Contains(identity.Adapters, order.GetSubject())
	case pb.OrderKind_ORDER_SET_ROLE:
		return identity.Role == order.GetSubject()
	default:
		return false
	}
}

// recordFinish proposes the record that an order has finished. Any result of
// the committed command is final, also a refusal.
func (o *orderHandler) recordFinish(finish *pb.OrderFinish) {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, reportTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_OrderFinish{OrderFinish: finish}}
	_, controlErr := o.daemon.control.Propose(ctx, transport.Control, command)
	o.loop.Post(fence.FinishResult{Number: finish.GetFencingNumber(), OK: controlErr == nil})
	o.triggerReport()
}

// drain stops taking requests and batch items until undrain.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.announce(pb.MemberState_MEMBER_DRAINING)
	d.core.Post(sidecar.Drain{})
	d.worker.Post(batch.Drain{})
	d.orders.triggerReport()
}

func (d *Daemon) undrain() {
	d.draining.Store(false)
	d.announce(pb.MemberState_MEMBER_SERVING)
	d.core.Post(sidecar.Undrain{})
	d.worker.Post(batch.Undrain{})
	d.orders.triggerReport()
}
