package labengine

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/pb"
)

// startOrder starts to apply an order, or refuses it if its fencing number is
// too old.
func (e *Engine) startOrder(now time.Time, in SubmitOrder) {
	if e.identity.ChecksFencing && in.Request.FencingNumber < e.identity.FencingNumber {
		response := engine.OrderResponse{Reason: "old fencing number"}
		e.outbox.Put(OrderResult{Serial: in.Serial, Response: response})
		return
	}
	e.identity.FencingNumber = max(e.identity.FencingNumber, in.Request.FencingNumber)
	e.pendingOrders[in.Serial] = in.Request
	e.orderDeadlines.Set(in.Serial, now.Add(e.options.OrderDuration))
	e.finishOrders(now)
}

func (e *Engine) finishOrders(now time.Time) {
	for {
		serial, ok := e.orderDeadlines.PopExpired(now)
		if !ok {
			return
		}
		order := e.pendingOrders[serial]
		delete(e.pendingOrders, serial)
		response := engine.OrderResponse{Done: e.applyOrder(order)}
		if !response.Done {
			response.Reason = "unknown kind of order"
		}
		e.outbox.Put(OrderResult{Serial: serial, Response: response})
	}
}

func (e *Engine) applyOrder(order engine.OrderRequest) bool {
	switch pb.OrderKind(pb.OrderKind_value[order.Kind]) {
	case pb.OrderKind_ORDER_LOAD_MODEL:
		e.identity.Models = insertName(e.identity.Models, order.Subject)
		e.identity.Version = order.Version
	case pb.OrderKind_ORDER_UNLOAD_MODEL:
		e.identity.Models = removeName(e.identity.Models, order.Subject)
	case pb.OrderKind_ORDER_LOAD_ADAPTER:
		e.identity.Adapters = insertName(e.identity.Adapters, order.Subject)
	case pb.OrderKind_ORDER_UNLOAD_ADAPTER:
		e.identity.Adapters = removeName(e.identity.Adapters, order.Subject)
	case pb.OrderKind_ORDER_SET_ROLE:
		e.identity.Role = order.Subject
	default:
		return false
	}
	return true
}

func insertName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func removeName(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}
