package jobpages

import "time"

const (
	// averagedItems sets the weight of a completed item in the moving averages:
	// 1/averagedItems.
	averagedItems = 10
	// initialEvents and initialEventTime are the averages before any item has
	// completed; together they give a run time of 6 s.
	initialEvents    = 240
	initialEventTime = 25 * time.Millisecond
	// minRemainingShare is the share of the average item that is assumed to
	// remain once an item approaches or exceeds the average number of events.
	minRemainingShare = 0.1
)

// RunTimeEstimator estimates the remaining run time of items from the completed
// ones. It keeps exponentially weighted moving averages.
type RunTimeEstimator struct {
	meanEvents    float64       // events per item
	meanEventTime time.Duration // run time per event
}

// NewRunTimeEstimator returns an estimator with the initial averages.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{meanEvents: initialEvents, meanEventTime: initialEventTime}
}

// Observe adds a completed item to the averages: its number of events in all
// runs, the number in its last run, and the duration of that run.
func (e *RunTimeEstimator) Observe(itemEvents, runEvents int, runTime time.Duration) {
	e.meanEvents += (float64(itemEvents) - e.meanEvents) / averagedItems
	if runEvents > 0 {
		e.meanEventTime += (runTime/time.Duration(runEvents) - e.meanEventTime) / averagedItems
	}
}

// RemainingTime estimates the run time that an item still needs after eventsDone
// events.
func (e *RunTimeEstimator) RemainingTime(eventsDone int) time.Duration {
	eventsLeft := max(e.meanEvents-float64(eventsDone), minRemainingShare*e.meanEvents)
	return time.Duration(eventsLeft * float64(e.meanEventTime))
}
