package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/connpool"
)

// maxEventBytes bounds the payload and each line of a server-sent event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an event exceeds maxEventBytes.
var ErrEventTooLarge = eris.New("engine: event is too large")

// ErrNoEvent means that a stream holds a line that is none of a server-sent event with data. A
// faulty engine may write such bytes in front of an event, which then cannot be read.
var ErrNoEvent = eris.New("engine: line is none of a server-sent event with data")

// eventReader reads the payloads of server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
	event   []byte
	hasData bool
}

func newEventReader(source io.Reader) *eventReader {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, connpool.BufferBytes), maxEventBytes)
	return &eventReader{scanner: scanner}
}

// next returns the payload of the next event, which is valid until the next
// call. It returns io.EOF at the end of the stream and discards an event that
// the closing empty line is missing from.
func (r *eventReader) next() ([]byte, error) {
	r.event = r.event[:0]
	r.hasData = false
	for r.scanner.Scan() {
		line := bytes.TrimSuffix(r.scanner.Bytes(), []byte("\r"))
		if len(line) == 0 {
			if r.hasData {
				return r.event, nil
			}
			continue
		}
		if err := r.addLine(line); err != nil {
			return nil, err
		}
	}
	if err := r.scanner.Err(); err != nil {
		if err == bufio.ErrTooLong {
			err = ErrEventTooLarge
		}
		return nil, err
	}
	return nil, io.EOF
}

func (r *eventReader) addLine(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok || r.hasData {
		return ErrNoEvent
	}
	data = bytes.TrimPrefix(data, []byte(" "))
	r.hasData = true
	r.event = append(r.event, data...)
	if len(r.event) > maxEventBytes {
		return ErrEventTooLarge
	}
	return nil
}
