package controld

import (
	"sync"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/spread"
	"github.com/briarcross/briarcross/transport"
)

// watcherQueueLength is the number of unsent updates after which the stream of
// a daemon is closed.
const watcherQueueLength = 16

// configWatchers sends configuration updates to the daemons that are attached
// to this replica.
type configWatchers struct {
	// updateSince returns the documents that changed after a revision.
	updateSince func(from uint64) *pb.ConfigUpdate
	// post gives an input to the publisher.
	post func(spread.PublisherInput)

	mu sync.Mutex
	// lastID is the ID of the watcher added last; the publisher uses it as the
	// subscriber's number.
	lastID uint64
	byID   map[uint64]*configWatcher
}

// configWatcher is one attached daemon.
type configWatcher struct {
	stream  *transport.Stream
	updates chan spread.SendUpdate
}

func newConfigWatchers(updateSince func(uint64) *pb.ConfigUpdate) *configWatchers {
	return &configWatchers{updateSince: updateSince, byID: make(map[uint64]*configWatcher)}
}

// serve handles the stream of one daemon until it ends.
func (w *configWatchers) serve(stream *transport.Stream, first *pb.ConfigWatch) {
	id, target := w.add(stream)
	defer w.remove(id)
	go w.sendUpdates(target)
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

func (w *configWatchers) add(stream *transport.Stream) (uint64, *configWatcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	added := &configWatcher{stream: stream, updates: make(chan spread.SendUpdate, watcherQueueLength)}
	w.byID[w.lastID] = added
	return w.lastID, added
}

func (w *configWatchers) remove(id uint64) {
	w.mu.Lock()
	removed := w.byID[id]
	delete(w.byID, id)
	w.mu.Unlock()
	close(removed.updates)
	w.post(spread.Unwatch{SubscriberID: id})
}

// enqueue queues an update for its subscriber. If the queue is full, since the
// daemon reads too slowly, its stream is closed and the daemon attaches again.
func (w *configWatchers) enqueue(out spread.SendUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target, ok := w.byID[out.SubscriberID]
	if !ok {
		return
	}
	select {
	case target.updates <- out:
	default:
		_ = target.stream.Close()
	}
}

// sendUpdates sends the queued updates of a watcher until the queue is closed.
// It builds each from the state at the time of sending.
func (w *configWatchers) sendUpdates(target *configWatcher) {
	for out := range target.updates {
		update := w.updateSince(out.FromRevision)
		update.Confirmed = out.Confirmed
		update.LeaseMs = uint32(out.LeaseRemaining.Milliseconds())
		envelope := &pb.Envelope{Body: &pb.Envelope_ConfigUpdate{ConfigUpdate: update}}
		if target.stream.Send(envelope) != nil {
			_ = target.stream.Close()
		}
	}
}
