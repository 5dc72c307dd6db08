package upstream

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits the size of an incomplete event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an incomplete event exceeds maxEventBytes.
var ErrEventTooLarge = eris.New("server-sent event exceeds 1 MiB")

// EventSplitter splits a stream of server-sent events into whole events, so that
// no part of an event is forwarded if the engine fails in the middle of it.
type EventSplitter struct {
	// buffer holds the bytes of the incomplete event.
	buffer []byte
	// LastID is the ID of the last whole event that has one. Before the first event
	// it is the ID after which the stream resumes, or empty.
	LastID string
	// Count is the number of whole events with data.
	Count int
	// OnData, unless nil, is called with the payload of each whole event with data.
	OnData func([]byte)
}

// Push appends p to the incomplete event and returns the whole events up to there.
// The slice is valid until the next call.
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

// PendingBytes returns the size of the incomplete event.
func (s *EventSplitter) PendingBytes() int { return len(s.buffer) }

// Reset discards the incomplete event.
func (s *EventSplitter) Reset() { s.buffer = nil }

// firstEventBytes returns the size of the first event including its closing empty
// line, or zero if p holds no whole event.
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

// record updates LastID and Count from a whole event and calls OnData.
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
