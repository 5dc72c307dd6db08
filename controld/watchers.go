package controld

import (
	"sync"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/spread"
	"github.com/briarcross/briarcross/transport"
)

const watcherQueue = 16

// watchers carries configuration updates to the daemons attached to this
// replica.
type watchers struct {
	update func(from uint64) *pb.ConfigUpdate
	post   func(spread.PublisherInput)

	mu      sync.Mutex
	next    uint64
	streams map[uint64]*watcher
}

type watcher struct {
	stream *transport.Stream
	sends  chan spread.SendUpdate
}

func newWatchers(update func(uint64) *pb.ConfigUpdate) *watchers {
	return &watchers{update: update, streams: make(map[uint64]*watcher)}
}

// serve handles the stream of one daemon until it ends.
func (w *watchers) serve(stream *transport.Stream, first *pb.ConfigWatch) {
	id, entry := w.add(stream)
	defer w.remove(id)
	go w.send(entry)
	w.post(spread.Watch{SubscriberID: id, Watch: first})
	for {
		envelope, err := stream.Receive()
		if err != nil {
			return
		}
		if watch := envelope.GetConfigWatch(); watch != nil {
			w.post(spread.Watch{SubscriberID: id, Watch: watch})
		}
	}
}

func (w *watchers) add(stream *transport.Stream) (uint64, *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	entry := &watcher{stream: stream, sends: make(chan spread.SendUpdate, watcherQueue)}
	w.streams[w.next] = entry
	return w.next, entry
}

func (w *watchers) remove(id uint64) {
	w.mu.Lock()
	entry := w.streams[id]
	delete(w.streams, id)
	w.mu.Unlock()
	close(entry.sends)
	w.post(spread.Unwatch{SubscriberID: id})
}

// queue passes an output of the publisher to its stream. A daemon that reads
// too slowly loses its stream and attaches again.
func (w *watchers) queue(out spread.SendUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, ok := w.streams[out.SubscriberID]
	if !ok {
		return
	}
	select {
	case entry.sends <- out:
	default:
		_ = entry.stream.Close()
	}
}

func (w *watchers) send(entry *watcher) {
	for out := range entry.sends {
		update := w.update(out.FromRevision)
		update.Confirmed = out.Confirmed
		update.LeaseMs = uint32(out.LeaseRemaining.Milliseconds())
		envelope := &pb.Envelope{Body: &pb.Envelope_ConfigUpdate{ConfigUpdate: update}}
		if entry.stream.Send(envelope) != nil {
			_ = entry.stream.Close()
		}
	}
}
