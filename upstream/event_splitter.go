package upstream

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits the size of an incomplete event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an incomplete event exceeds maxEventBytes.
var ErrEventTooLarge = eris.New("server-sent event exceeds 1 MiB")

// ErrNoEvent means that a part of a stream that ends like an event is none.
var ErrNoEvent = eris.New("line is no field of a server-sent event")

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

// Push appends p to the incomplete event and returns the whole events up to there, also
// with an error. The slice is valid until the next call. After an error, no more of the
// stream may be pushed.
func (s *EventSplitter) Push(p []byte) ([]byte, error) {
	s.buffer = append(s.buffer, p...)
	end := 0
	for {
		size := firstEventBytes(s.buffer[end:])
		if size == 0 {
			break
		}
		event := s.buffer[end : end+size]
		if !isEvent(event) {
			return s.buffer[:end:end], ErrNoEvent
		}
		s.record(event)
		end += size
	}
	events := s.buffer[:end:end]
	if len(s.buffer)-end > maxEventBytes {
		return events, ErrEventTooLarge
	}
	s.buffer = append([]byte(nil), s.buffer[end:]...)
	return events, nil
}

// isEvent reports whether each line is a comment or a field with a proper name. The head
// of a response, which a faulty engine may write into a stream, has a first line that is
// neither.
func isEvent(p []byte) bool {
	for line := range bytes.SplitSeq(p, []byte("\n")) {
		name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		for _, c := range name {
			if !isFieldNameByte(c) {
				return false
			}
		}
	}
	return true
}

func isFieldNameByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.'
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
