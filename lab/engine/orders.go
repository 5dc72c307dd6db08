package labengine

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/pb"
)

// order starts an order or refuses it.
func (e *Engine) order(now time.Time, in Order) {
	if e.serves.ChecksFencing && in.Order.FencingNumber < e.serves.FencingNumber {
		reply := engine.OrderResponse{Reason: "old fencing number"}
		e.outbox.Put(OrderReplied{Serial: in.Serial, Reply: reply})
		return
	}
	e.serves.FencingNumber = max(e.serves.FencingNumber, in.Order.FencingNumber)
	e.pending[in.Serial] = in.Order
	e.orders.Set(in.Serial, now.Add(e.options.OrderTime))
	e.finishOrders(now)
}

func (e *Engine) finishOrders(now time.Time) {
	for {
		serial, ok := e.orders.PopExpired(now)
		if !ok {
			return
		}
		order := e.pending[serial]
		delete(e.pending, serial)
		reply := engine.OrderResponse{Done: e.carryOut(order)}
		if !reply.Done {
			reply.Reason = "unknown kind of order"
		}
		e.outbox.Put(OrderReplied{Serial: serial, Reply: reply})
	}
}

func (e *Engine) carryOut(order engine.OrderRequest) bool {
	switch pb.OrderKind(pb.OrderKind_value[order.Kind]) {
	case pb.OrderKind_ORDER_LOAD_MODEL:
		e.serves.Models = insert(e.serves.Models, order.Subject)
		e.serves.Version = order.Version
	case pb.OrderKind_ORDER_UNLOAD_MODEL:
		e.serves.Models = remove(e.serves.Models, order.Subject)
	case pb.OrderKind_ORDER_LOAD_ADAPTER:
		e.serves.Adapters = insert(e.serves.Adapters, order.Subject)
	case pb.OrderKind_ORDER_UNLOAD_ADAPTER:
		e.serves.Adapters = remove(e.serves.Adapters, order.Subject)
	case pb.OrderKind_ORDER_SET_ROLE:
		e.serves.Role = order.Subject
	default:
		return false
	}
	return true
}

func insert(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func remove(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}
