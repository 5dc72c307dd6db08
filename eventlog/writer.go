package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedBytes limits the lines buffered for the output.
const maxBufferedBytes = 512 << 10

// Writer writes lines to an output in the background. Write never blocks.
type Writer struct {
	out             io.Writer
	mu              sync.Mutex
	buffer          []byte
	spare           []byte
	unreportedDrops uint64
	totalDrops      atomic.Uint64
	wake            chan struct{}
	closed          bool
	done            chan struct{}
}

// NewWriter returns a Writer and starts its background goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for whole lines. It never returns an error: if the
// buffer is full or the writer closed, the line is counted as dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBufferedBytes {
		w.unreportedDrops++
		w.totalDrops.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.totalDrops.Load() }

// Close writes the buffered lines and stops the background goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		lines, dropped, closed := w.takeBuffer()
		if dropped > 0 {
			lines = fmt.Appendf(lines, "{\"msg\":\"log_dropped\",\"lines\":%d}\n", dropped)
		}
		// A failed write to the log cannot be reported anywhere.
		_, _ = w.out.Write(lines)
		if closed {
			return
		}
	}
}

func (w *Writer) takeBuffer() (lines []byte, dropped uint64, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, dropped = w.buffer, w.unreportedDrops
	w.buffer, w.spare = w.spare[:0], w.buffer
	w.unreportedDrops = 0
	return lines, dropped, w.closed
}
