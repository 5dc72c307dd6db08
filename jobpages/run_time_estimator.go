package jobpages

import "time"

const (
	// averagedItems is the number of items over which a Pace averages.
	averagedItems = 10
	// initialEvents and firstEventTime are the size of an item and the time of
	// one event before any item has been done; together 6 s.
	initialEvents    = 240
	initialEventTime = 25 * time.Millisecond
	// minRemainingShare is the part of an item that is taken to remain when it has
	// passed the average size.
	minRemainingShare = 0.1
)

// RunTimeEstimator is what the completed items tell about those that wait.
type RunTimeEstimator struct {
	meanEvents    float64
	meanEventTime time.Duration
}

// NewRunTimeEstimator returns the pace before any item has been done.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{meanEvents: initialEvents, meanEventTime: initialEventTime}
}

// Observe takes in an item that was completed: its events, those of its last run,
// and the time that this run took.
func (p *RunTimeEstimator) Observe(itemEvents, runEvents int, runTime time.Duration) {
	p.meanEvents += (float64(itemEvents) - p.meanEvents) / averagedItems
	if runEvents > 0 {
		p.meanEventTime += (runTime/time.Duration(runEvents) - p.meanEventTime) / averagedItems
	}
}

// RemainingTime estimates the time that an item needs after a number of events.
func (p *RunTimeEstimator) RemainingTime(eventsDone int) time.Duration {
	eventsLeft := max(p.meanEvents-float64(eventsDone), minRemainingShare*p.meanEvents)
	return time.Duration(eventsLeft * float64(p.meanEventTime))
}
