package entrynode

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/briarcross/briarcross/eventlog"
)

const (
	// outOfRotationTime is the time within which the load balancer takes a daemon
	// that is not ready out of rotation, with a margin of one health check.
	outOfRotationTime = 3 * time.Second
	// stopMargin is the part of the grace period left for the process to exit.
	stopMargin = time.Second
	// endStalledInterval is the interval at which a stop looks for requests that have stopped
	// arriving.
	endStalledInterval = 200 * time.Millisecond
	// reasonStopping is the reason of the refusal of requests that may outlast the entry.
	reasonStopping = "stopping"
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// outOfRotation is when the load balancer sends no more connections.
	outOfRotation time.Time
	// end is when the connections that are left are cut.
	end time.Time
}

func newStopTimes(now time.Time, gracePeriod time.Duration) *stopTimes {
	return &stopTimes{
		outOfRotation: now.Add(min(outOfRotationTime, gracePeriod/2)),
		end:           now.Add(gracePeriod - stopMargin),
	}
}

// admits reports whether a request that may take up to a time may still be started. While
// connections arrive, hardly any request takes as long as it may.
func (s *stopTimes) admits(now time.Time, timeout time.Duration) bool {
	return now.Before(s.outOfRotation) || !now.Add(timeout).After(s.end)
}

// outlastsStop reports whether the entry stops and a request that may take up to a time
// could be cut by that. Its caller had better go to another entry at once.
func (n *Node) outlastsStop(timeout time.Duration) bool {
	times := n.stopTimes.Load()
	return times != nil && !times.admits(time.Now(), timeout)
}

// closeWhileStopping ends a caller's connection with its next response while the entry
// stops.
func (n *Node) closeWhileStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Stop waits until the load balancer has taken the entry out of rotation, then
// shuts down once all requests are completed or the grace period ends.
func (n *Node) Stop() error {
	n.logger.Info(eventlog.Stopping)
	times := newStopTimes(time.Now(), n.settings.GracePeriod)
	n.stopTimes.Store(times)
	n.stopping.Store(true)
	select {
	case <-time.After(time.Until(times.outOfRotation)):
	case <-n.ctx.Done():
	}
	ctx, cancel := context.WithDeadline(context.Background(), times.end)
	defer cancel()
	err := n.callersListener.Close()
	n.drainCallers(ctx)
	err = errors.Join(err, n.callersServer.Close())
	_ = n.readyServer.Close()
	n.metricsServer.Close()
	n.cancel()
	n.Close()
	n.tasks.Wait()
	return err
}

// drainCallers waits until all connections have ended, or until the context ends. It ends the
// requests with a body that has stopped arriving.
func (n *Node) drainCallers(ctx context.Context) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		n.callerConns.drain(ctx)
	}()
	ticker := time.NewTicker(endStalledInterval)
	defer ticker.Stop()
	for {
		n.clients.EndStalled()
		select {
		case <-drained:
			return
		case <-ticker.C:
		}
	}
}
