package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/connpool"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an event exceeds maxEventBytes.
var ErrEventTooLarge = eris.New("engine: event is too large")

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

// next returns the payload of the next event. The slice is valid until the
// next call. It returns io.EOF at the end of the stream; an event without its
// closing empty line is not returned.
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
	if !ok {
		return nil // A comment or a field that carries no payload.
	}
	data = bytes.TrimPrefix(data, []byte(" "))
	if r.hasData {
		r.event = append(r.event, '\n')
	}
	r.hasData = true
	r.event = append(r.event, data...)
	if len(r.event) > maxEventBytes {
		return ErrEventTooLarge
	}
	return nil
}
