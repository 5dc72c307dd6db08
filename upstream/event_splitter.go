package upstream

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an event exceeds the bound.
var ErrEventTooLarge = eris.New("event is too large")

// EventSplitter cuts a stream of server-sent events into whole events, so that an
// engine that stops in the middle of one leaves nothing of it behind.
type EventSplitter struct {
	buffer []byte
	// LastID is the ID of the last whole event; empty before the first.
	LastID string
	// Count is the number of whole events.
	Count int
	// OnData, if set, is called with the payload of each whole event.
	OnData func([]byte)
}

// Push adds bytes and returns the whole events at the front of what is
// pending. The slice is valid until the next call.
func (s *EventSplitter) Push(p []byte) ([]byte, error) {
	s.buffer = append(s.buffer, p...)
	end := 0
	for {
		size := firstEventBytes(s.buffer[end:])
		if size == 0 {
			break
		}
		s.record(s.buffer[end : end+size])
		end += size
	}
	if len(s.buffer)-end > maxEventBytes {
		return nil, ErrEventTooLarge
	}
	events := s.buffer[:end:end]
	s.buffer = append([]byte(nil), s.buffer[end:]...)
	return events, nil
}

// PendingBytes returns the number of bytes of an event that is not whole.
func (s *EventSplitter) PendingBytes() int { return len(s.buffer) }

// Reset drops the bytes of an event that is not whole.
func (s *EventSplitter) Reset() { s.buffer = nil }

// firstEventBytes returns the length of the first event with its closing empty
// line, or zero when there is no whole one.
func firstEventBytes(p []byte) int {
	lf := bytes.Index(p, []byte("\n\n"))
	crlf := bytes.Index(p, []byte("\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + len("\n\n")
	case crlf >= 0:
		return crlf + len("\n\r\n")
	}
	return 0
}

func (s *EventSplitter) record(event []byte) {
	var data []byte
	hasData := false
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			s.LastID = string(value)
		case "data":
			if hasData {
				data = append(data, '\n')
			}
			data = append(data, value...)
			hasData = true
		}
	}
	if !hasData {
		return
	}
	s.Count++
	if s.OnData != nil {
		s.OnData(data)
	}
}
