package upstream

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits the size of an incomplete event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an incomplete event exceeds maxEventBytes.
var ErrEventTooLarge = eris.New("server-sent event exceeds 1 MiB")

// ErrNoEvent means that a part of a stream that ends like an event is none, or none of this
// stream.
var ErrNoEvent = eris.New("part of the stream is none of its server-sent events")

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
		next, ok := parseEvent(s.buffer[end : end+size])
		if !ok || next.hasData && !s.follows(next) {
			return s.buffer[:end:end], ErrNoEvent
		}
		s.record(next)
		end += size
	}
	events := s.buffer[:end:end]
	if len(s.buffer)-end > maxEventBytes {
		return events, ErrEventTooLarge
	}
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

// event is a part of a stream up to an empty line.
type event struct {
	id   []byte
	data []byte
	// numbered and hasData are set if there is a field id or data.
	numbered bool
	hasData  bool
}

// parseEvent parses the lines of an event. It returns false if one is neither a comment nor a
// field with a proper name, like the first line of the head of a response, or if the event
// has fields without data, like a text that a faulty engine writes into a stream.
func parseEvent(p []byte) (event, bool) {
	var e event
	hasFields := false
	for line := range bytes.SplitSeq(p, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		if !isFieldName(name) {
			return event{}, false
		}
		hasFields = hasFields || len(name) > 0
		switch string(name) {
		case "id":
			e.id, e.numbered = value, true
		case "data":
			if e.hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			e.hasData = true
		}
	}
	return e, e.hasData || !hasFields
}

func isFieldName(name []byte) bool {
	for _, c := range name {
		if !isFieldNameByte(c) {
			return false
		}
	}
	return true
}

func isFieldNameByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.'
}

// follows reports whether an event with data may come next. In a stream whose events have IDs
// each has one, and they increase.
func (s *EventSplitter) follows(e event) bool {
	if s.LastID == "" {
		return s.Count == 0 || !e.numbered
	}
	if !e.numbered {
		return false
	}
	last, lastErr := strconv.ParseUint(s.LastID, 10, 64)
	next, nextErr := strconv.ParseUint(string(e.id), 10, 64)
	return lastErr != nil && nextErr != nil || lastErr == nil && nextErr == nil && next > last
}

// record updates LastID and Count from an event and calls OnData.
func (s *EventSplitter) record(e event) {
	if !e.hasData {
		return
	}
	if e.numbered {
		s.LastID = string(e.id)
	}
	s.Count++
	if s.OnData != nil {
		s.OnData(e.data)
	}
}
