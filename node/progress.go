package node

import (
	"time"

	"github.com/briarcross/briarcross/dispatch"
)

// readerStall is the time between two reads of a stream from which events have probably
// waited for the reader, so that the next ones say nothing about the upstream.
const readerStall = 10 * time.Millisecond

// ProgressMeter measures how fast an upstream delivers the events of one stream. The zero
// value measures nothing. It is not safe for concurrent use.
type ProgressMeter struct {
	slots *SlotPool
	grant dispatch.Grant
	// interval is the shortest time between two records of further events.
	interval time.Duration
	// last is the time at which the request was sent, or of the last record.
	last    time.Time
	events  int
	started bool
	// withFirst is set if the time to the first event counts.
	withFirst bool
	stalled   bool
}

// MeasureOnline returns a meter for an online request that was sent at a time.
func MeasureOnline(slots *SlotPool, grant dispatch.Grant, sentAt time.Time) ProgressMeter {
	return ProgressMeter{slots: slots, grant: grant, last: sentAt, withFirst: true}
}

// batchMeterInterval bounds the work for the many runs of a storage daemon.
const batchMeterInterval = 100 * time.Millisecond

// MeasureBatch returns a meter for a run of a batch item. The time to its first event does
// not count: prompts of items differ from those of online requests, and workers report the
// first event late.
func MeasureBatch(slots *SlotPool, grant dispatch.Grant) ProgressMeter {
	return ProgressMeter{slots: slots, grant: grant, interval: batchMeterInterval}
}

// Record records that events have arrived. Those that come with the first one say nothing
// about the time between events.
func (m *ProgressMeter) Record(now time.Time, events int) {
	if events == 0 || m.slots == nil {
		return
	}
	elapsed := now.Sub(m.last)
	switch {
	case !m.started:
		m.started, m.last = true, now
		if m.withFirst {
			m.slots.RecordProgress(m.grant, elapsed, 0, 0)
		}
		return
	case m.stalled:
		m.stalled, m.events, m.last = false, 0, now
		return
	}
	m.events += events
	if elapsed < m.interval {
		return
	}
	m.slots.RecordProgress(m.grant, 0, m.events, elapsed)
	m.events, m.last = 0, now
}

// Relayed records that the events of the last Record have been passed on. If that took
// long, because the caller reads slowly, the next events have waited in the connection.
func (m *ProgressMeter) Relayed(now time.Time) {
	m.stalled = m.stalled || now.Sub(m.last) >= readerStall
}
