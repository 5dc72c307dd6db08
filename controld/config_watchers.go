package controld

import (
	"sync"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/spread"
	"github.com/briarcross/briarcross/transport"
)

const watcherQueueLength = 16

// configWatchers carries configuration updates to the daemons attached to this
// replica.
type configWatchers struct {
	updateSince func(from uint64) *pb.ConfigUpdate
	post        func(spread.PublisherInput)

	mu     sync.Mutex
	lastID uint64
	byID   map[uint64]*configWatcher
}

type configWatcher struct {
	stream  *transport.Stream
	updates chan spread.Send
}

func newConfigWatchers(update func(uint64) *pb.ConfigUpdate) *configWatchers {
	return &configWatchers{updateSince: update, byID: make(map[uint64]*configWatcher)}
}

// serve handles the stream of one daemon until it ends.
func (w *configWatchers) serve(stream *transport.Stream, first *pb.ConfigWatch) {
	id, target := w.add(stream)
	defer w.remove(id)
	go w.sendUpdates(target)
	w.post(spread.Watch{Subscriber: id, Watch: first})
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		if watch := envelope.GetConfigWatch(); watch != nil {
			w.post(spread.Watch{Subscriber: id, Watch: watch})
		}
	}
}

func (w *configWatchers) add(stream *transport.Stream) (uint64, *configWatcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	added := &configWatcher{stream: stream, updates: make(chan spread.Send, watcherQueueLength)}
	w.byID[w.lastID] = added
	return w.lastID, added
}

func (w *configWatchers) remove(id uint64) {
	w.mu.Lock()
	removed := w.byID[id]
	delete(w.byID, id)
	w.mu.Unlock()
	close(removed.updates)
	w.post(spread.Unwatch{Subscriber: id})
}

// enqueue passes an output of the publisher to its stream. A daemon that reads
// too slowly loses its stream and attaches again.
func (w *configWatchers) enqueue(out spread.Send) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, ok := w.byID[out.Subscriber]
	if !ok {
		return
	}
	select {
	case target.updates <- out:
	default:
		_ = target.stream.Close()
	}
}

func (w *configWatchers) sendUpdates(target *configWatcher) {
	for out := range target.updates {
		update := w.updateSince(out.From)
		update.Confirmed = out.Confirmed
		update.LeaseMs = uint32(out.Lease.Milliseconds())
		envelope := &pb.Envelope{Body: &pb.Envelope_ConfigUpdate{ConfigUpdate: update}}
		if target.stream.Send(envelope) != nil {
			_ = target.stream.Close()
		}
	}
}
