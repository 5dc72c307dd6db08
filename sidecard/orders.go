package sidecard

import (
	"context"
	"slices"
	"time"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/fence"
	"github.com/briarcross/briarcross/loop"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
	"github.com/briarcross/briarcross/transport"
)

const (
	fenceTick      = 100 * time.Millisecond
	reportInterval = 5 * time.Second
	reportTimeout  = 4 * time.Second
	orderTimeout   = 10 * time.Minute
	examineTimeout = 2 * time.Second
)

// orders is the shell of the fence: it reports what the upstream serves and
// carries out its orders.
type orders struct {
	daemon *Daemon
	fence  *fence.Fence
	loop   *loop.Loop[fence.Input, fence.Output]
	wake   chan struct{}
}

func newOrders(d *Daemon) *orders {
	o := &orders{daemon: d, fence: fence.New(d.settings.ID), wake: make(chan struct{}, 1)}
	o.loop = loop.Start[fence.Input, fence.Output](o.fence, fenceTick, o.carry)
	return o
}

// run reports until the sidecar stops.
func (o *orders) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		o.report()
		select {
		case <-o.daemon.ctx.Done():
			return
		case <-o.wake:
		case <-ticker.C:
		}
	}
}

// reportSoon has the leader told of a change without waiting for the interval.
func (o *orders) reportSoon() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *orders) report() {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, reportTimeout)
	defer cancel()
	serves, err := o.daemon.engine.Identity(ctx)
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
		Models:        serves.Models,
		Adapters:      serves.Adapters,
		Version:       serves.Version,
		Role:          serves.Role,
		ChecksFencing: serves.ChecksFencing,
		Draining:      o.daemon.draining.Load(),
	}
	o.loop.Do(func() { report.FencingNumber = o.fence.ConfirmedNumber() })
	answer, controlErr := o.daemon.control.Report(ctx, report)
	if controlErr == nil {
		o.loop.Post(fence.FencingNumberHint{Number: answer.GetFencingNumber()})
	}
}

func (o *orders) carry(out fence.Output) {
	switch out := out.(type) {
	case fence.ReadOrders:
		go o.read()
	case fence.Execute:
		go o.execute(out.Order)
	case fence.CheckOutcome:
		go o.examine(out.Order)
	case fence.RecordFinish:
		go o.finish(out.Finish)
	case fence.OrderIgnored:
		o.daemon.metrics.ordersIgnored.Inc()
	}
}

// read asks a quorum for the upstream's orders.
func (o *orders) read() {
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

var resultOf = map[engine.OrderOutcome]fence.Outcome{
	engine.OrderDone:           fence.Done,
	engine.OrderRefused:        fence.Refused,
	engine.OrderNotSent:        fence.NotSent,
	engine.OrderOutcomeUnknown: fence.OutcomeUnknown,
}

// execute sends an order to the upstream. An order that changes what runs waits
// until the running requests have ended.
func (o *orders) execute(order *pb.Order) {
	o.daemon.logger.Info("order begins", "number", order.GetFencingNumber(), "kind", order.GetKind(), "subject", order.GetSubject())
	if interrupts(order.GetKind()) {
		o.pause()
		defer o.unpause()
	}
	ctx, cancel := context.WithTimeout(o.daemon.ctx, orderTimeout)
	defer cancel()
	result := o.daemon.engine.SendOrder(ctx, order)
	o.daemon.logger.Info("order ended", "number", order.GetFencingNumber(), "outcome", result.Outcome, "reason", result.Reason)
	o.loop.Post(fence.OutcomeReported{Number: order.GetFencingNumber(), Outcome: resultOf[result.Outcome], Reason: result.Reason})
}

// interrupts reports whether an order must not run beside requests.
func interrupts(kind pb.OrderKind) bool {
	return kind == pb.OrderKind_ORDER_LOAD_MODEL || kind == pb.OrderKind_ORDER_UNLOAD_MODEL || kind == pb.OrderKind_ORDER_SET_ROLE
}

// pause lets running requests end and takes no new ones meanwhile.
func (o *orders) pause() {
	idle := o.daemon.idle.reset()
	o.daemon.announce(pb.MemberState_MEMBER_DRAINING)
	o.daemon.core.Post(sidecar.Drain{})
	timer := time.NewTimer(o.daemon.settings.StopWait)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	case <-o.daemon.ctx.Done():
	}
}

func (o *orders) unpause() {
	defer o.reportSoon()
	if o.daemon.draining.Load() {
		return
	}
	o.daemon.core.Post(sidecar.Undrain{})
	o.daemon.announce(pb.MemberState_MEMBER_SERVING)
}

// examine asks the upstream whether an order has taken effect.
func (o *orders) examine(order *pb.Order) {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, examineTimeout)
	defer cancel()
	answer := fence.OutcomeReported{Number: order.GetFencingNumber(), Outcome: fence.NotSent}
	serves, err := o.daemon.engine.Identity(ctx)
	switch {
	case err != nil:
		answer.Outcome = fence.OutcomeUnknown
		answer.Reason = err.Error()
	case inEffect(order, serves):
		answer.Outcome = fence.Done
	}
	o.loop.Post(answer)
}

// inEffect reports whether an upstream serves what an order asks for.
func inEffect(order *pb.Order, serves engine.Identity) bool {
	switch order.GetKind() {
	case pb.OrderKind_ORDER_LOAD_MODEL:
		rightVersion := order.GetVersion() == "" || order.GetVersion() == serves.Version
		return slices.Contains(serves.Models, order.GetSubject()) && rightVersion
	case pb.OrderKind_ORDER_UNLOAD_MODEL:
		return !slices.Contains(serves.Models, order.GetSubject())
	case pb.OrderKind_ORDER_LOAD_ADAPTER:
		return slices.Contains(serves.Adapters, order.GetSubject())
	case pb.OrderKind_ORDER_UNLOAD_ADAPTER:
		return !slices.Contains(serves.Adapters, order.GetSubject())
	case pb.OrderKind_ORDER_SET_ROLE:
		return serves.Role == order.GetSubject()
	default:
		return false
	}
}

// finish records the end of an order. Any answer of the agreed state is final.
func (o *orders) finish(finish *pb.OrderFinish) {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, reportTimeout)
	defer cancel()
	command := &pb.Command{Op: &pb.Command_OrderFinish{OrderFinish: finish}}
	_, controlErr := o.daemon.control.Propose(ctx, transport.Control, command)
	o.loop.Post(fence.FinishResult{Number: finish.GetFencingNumber(), OK: controlErr == nil})
	o.reportSoon()
}

// drain takes no new work until undrain.
func (d *Daemon) drain() {
	d.draining.Store(true)
	d.announce(pb.MemberState_MEMBER_DRAINING)
	d.core.Post(sidecar.Drain{})
	d.worker.Post(batch.Drain{})
	d.orders.reportSoon()
}

func (d *Daemon) undrain() {
	d.draining.Store(false)
	d.announce(pb.MemberState_MEMBER_SERVING)
	d.core.Post(sidecar.Undrain{})
	d.worker.Post(batch.Undrain{})
	d.orders.reportSoon()
}
