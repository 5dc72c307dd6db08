package jobpages

import "time"

const (
	// paceMemory is the number of items over which a Pace averages.
	paceMemory = 10
	// firstEvents and firstEventTime are the size of an item and the time of
	// one event before any item has been done; together 6 s.
	firstEvents    = 240
	firstEventTime = 25 * time.Millisecond
	// leastRemaining is the part of an item that is taken to remain when it has
	// passed the average size.
	leastRemaining = 0.1
)

// RunTimeEstimator is what the completed items tell about those that wait.
type RunTimeEstimator struct {
	events    float64
	eventTime time.Duration
}

// NewRunTimeEstimator returns the pace before any item has been done.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{events: firstEvents, eventTime: firstEventTime}
}

// Observe takes in an item that was completed: its events, those of its last run,
// and the time that this run took.
func (p *RunTimeEstimator) Observe(events, lastRun int, took time.Duration) {
	p.events += (float64(events) - p.events) / paceMemory
	if lastRun > 0 {
		p.eventTime += (took/time.Duration(lastRun) - p.eventTime) / paceMemory
	}
}

// RemainingTime estimates the time that an item needs after a number of events.
func (p *RunTimeEstimator) RemainingTime(done int) time.Duration {
	left := max(p.events-float64(done), leastRemaining*p.events)
	return time.Duration(left * float64(p.eventTime))
}
