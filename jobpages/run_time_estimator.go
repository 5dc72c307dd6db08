package jobpages

import (
	"math"
	"time"
)

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
	// maxInterruptedShare bounds the observed share of time in which an item was
	// preempted, so that an overload of seconds does not make all items seem late.
	maxInterruptedShare = 0.6
	// elapsedTimeMargin allows for items that are preempted more often than the average.
	elapsedTimeMargin = 1.15
)

// RunTimeEstimator estimates the remaining time of items from the completed ones.
// It keeps exponentially weighted moving averages.
type RunTimeEstimator struct {
	meanEvents    float64       // events per item
	eventsSpread  float64       // mean absolute deviation of the events per item
	meanEventTime time.Duration // run time per event
	// interruptedShare is the share of the time between the first start of an item and
	// its completion in which the item was preempted.
	interruptedShare float64
}

// NewRunTimeEstimator returns an estimator with the initial averages.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{meanEvents: initialEvents, meanEventTime: initialEventTime}
}

// Observe adds a completed item to the averages: its number of events in all
// runs, the number in its last run, and the duration of that run.
func (e *RunTimeEstimator) Observe(itemEvents, runEvents int, runTime time.Duration) {
	e.eventsSpread += (math.Abs(float64(itemEvents)-e.meanEvents) - e.eventsSpread) / averagedItems
	e.meanEvents += (float64(itemEvents) - e.meanEvents) / averagedItems
	if runEvents > 0 {
		e.meanEventTime += (runTime/time.Duration(runEvents) - e.meanEventTime) / averagedItems
	}
}

// RemainingEvents estimates the number of events that an item still has after eventsDone.
func (e *RunTimeEstimator) RemainingEvents(eventsDone int) int {
	return int(e.eventsLeft(e.meanEvents, eventsDone))
}

// eventsLeft returns the number of events that an item of a size still has after eventsDone.
func (e *RunTimeEstimator) eventsLeft(size float64, eventsDone int) float64 {
	return max(size-float64(eventsDone), minRemainingShare*e.meanEvents)
}

// RemainingTime estimates the run time that an item still needs after eventsDone
// events.
func (e *RunTimeEstimator) RemainingTime(eventsDone int) time.Duration {
	return time.Duration(e.eventsLeft(e.meanEvents, eventsDone) * float64(e.meanEventTime))
}

// ObserveCompletion adds the time between the first start of a completed item and
// now to the averages. It must follow Observe.
func (e *RunTimeEstimator) ObserveCompletion(now time.Time, progress *ItemProgress) {
	elapsed := now.Sub(progress.FirstStartedAt)
	if progress.FirstStartedAt.IsZero() || elapsed <= 0 {
		return
	}
	share := 1 - min(1, float64(progress.EventCount)*float64(e.meanEventTime)/float64(elapsed))
	e.interruptedShare += (min(share, maxInterruptedShare) - e.interruptedShare) / averagedItems
}

// RemainingElapsedTime estimates the time until an item of the average size completes after
// eventsDone events if it starts now, including the time in which it will be preempted.
func (e *RunTimeEstimator) RemainingElapsedTime(eventsDone int) time.Duration {
	return e.elapsedTime(e.meanEvents, eventsDone)
}

// RemainingElapsedTimeIfLarge is RemainingElapsedTime for an item that is larger than the average by
// the mean deviation.
func (e *RunTimeEstimator) RemainingElapsedTimeIfLarge(eventsDone int) time.Duration {
	return e.elapsedTime(e.meanEvents+e.eventsSpread, eventsDone)
}

func (e *RunTimeEstimator) elapsedTime(size float64, eventsDone int) time.Duration {
	runTime := e.eventsLeft(size, eventsDone) * float64(e.meanEventTime)
	return time.Duration(elapsedTimeMargin * runTime / (1 - e.interruptedShare))
}
