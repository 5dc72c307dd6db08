package upstream

import (
	"bytes"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// maxEventBytes limits the size of an incomplete event.
const maxEventBytes = 1 << 20

// ErrEventTooLarge means that an incomplete event exceeds maxEventBytes.
var ErrEventTooLarge = eris.New("server-sent event exceeds 1 MiB")

// ErrNoEvent means that a part of a stream that ends like an event is none, or none of this
// stream.
var ErrNoEvent = eris.New("part of the stream is none of its server-sent events")

// ErrEventConflict means that a stream has two different events with one ID. The first one has
// been passed on, and either may be none of the stream.
var ErrEventConflict = eris.New("two different server-sent events with one ID")

// ErrOutputTooLong means that a stream exceeds its OutputLimits. Its engine generates something
// else than the answer.
var ErrOutputTooLong = eris.New("stream exceeds the output that its request allows")

const (
	// maxTokenBytes is far above the text of a token on average, minOutputBytes above
	// that of a few long ones.
	maxTokenBytes  = 128
	minOutputBytes = 64 << 10
	// maxOutputBytes limits the data of a stream, also if its request states no tokens.
	maxOutputBytes = 2 << 20
)

// OutputLimits bounds a stream. Zero values mean no limit.
type OutputLimits struct {
	// Events is the highest ID of an event. An event holds one token at least.
	Events uint64
	// DataBytes is the size of the data of all events of one response.
	DataBytes int
}

// LimitOutput returns the limits of a stream that has at most a number of tokens, zero if that is
// not known.
func LimitOutput(tokens int) OutputLimits {
	if tokens <= 0 {
		return OutputLimits{DataBytes: maxOutputBytes}
	}
	return OutputLimits{Events: uint64(tokens), DataBytes: min(max(minOutputBytes, tokens*maxTokenBytes), maxOutputBytes)}
}

// EventSplitter splits a stream of server-sent events into whole events, so that
// no part of an event is forwarded if the engine fails in the middle of it.
//
// A faulty engine may write bytes into a stream that belong to no request. An event consists of
// one line with its ID and one with its data, after a line with VersionField if it has one. IDs
// number the events of a stream from 1. Anything else ends the stream.
type EventSplitter struct {
	// VersionField is the name of a field with a number that may be the first one of an event;
	// empty if there is none.
	VersionField string
	// Limits bounds the stream.
	Limits OutputLimits
	// dataBytes is the size of the data of this response.
	dataBytes int
	// buffer holds the bytes of the incomplete event.
	buffer []byte
	// LastID is the ID of the last whole event. Before the first event it is the ID after
	// which the stream resumes, or empty.
	LastID string
	// Count is the number of whole events.
	Count int
	// OnData, unless nil, is called with the data of each whole event.
	OnData func([]byte)
	// lastDigest is the digest of the last whole event of this response. It is valid if
	// hasDigest is set.
	lastDigest uint64
	hasDigest  bool
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
		raw := s.buffer[end : end+size]
		next, ok := parseEvent(raw, s.VersionField)
		switch {
		case !ok:
			return s.buffer[:end:end], ErrNoEvent
		case s.conflicts(next, raw):
			return s.buffer[:end:end], ErrEventConflict
		case !s.follows(next):
			return s.buffer[:end:end], ErrNoEvent
		case s.exceedsLimits(next):
			return s.buffer[:end:end], ErrOutputTooLong
		}
		s.record(next, raw)
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

// Reset discards the incomplete event. What is pushed next is another response, which resumes
// the stream.
func (s *EventSplitter) Reset() { s.buffer, s.hasDigest, s.dataBytes = nil, false, 0 }

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

// event is one event of a stream.
type event struct {
	id   uint64
	data []byte
}

// parseEvent parses an event with its closing empty line. It returns false if that is none of
// the events that EventSplitter describes.
func parseEvent(p []byte, versionField string) (event, bool) {
	var e event
	hasID, hasData := false, false
	lines := bytes.Split(p, []byte("\n"))
	// The last two are the closing empty line and what follows its line feed.
	for i, line := range lines[:len(lines)-2] {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, isField := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		ok := false
		switch field := string(name); {
		case !isField || field == "":
		case field == "id" && !hasID:
			e.id, ok = parseNumber(value)
			hasID = true
		case field == "data" && !hasData:
			e.data, ok = value, isText(value)
			hasData = true
		case field == versionField && i == 0:
			_, ok = parseNumber(value)
		}
		if !ok {
			return event{}, false
		}
	}
	return e, hasID && hasData
}

// parseNumber parses a decimal number without a sign or leading zeros.
func parseNumber(p []byte) (uint64, bool) {
	number, err := strconv.ParseUint(string(p), 10, 64)
	return number, err == nil && strconv.FormatUint(number, 10) == string(p)
}

// isText reports whether p is a line of UTF-8 text. Callers take a carriage return for the end
// of a line.
func isText(p []byte) bool { return utf8.Valid(p) && !bytes.ContainsAny(p, "\r\x00") }

// follows reports whether an event may come next. If a caller resumes a stream after an ID that
// is no number, any may come first.
func (s *EventSplitter) follows(e event) bool {
	if s.LastID == "" {
		return e.id == 1
	}
	last, isNumber := parseNumber([]byte(s.LastID))
	return !isNumber || last < math.MaxUint64 && e.id == last+1
}

// conflicts reports whether an event has the ID of the last one of this response, but is
// another one.
func (s *EventSplitter) conflicts(e event, raw []byte) bool {
	return s.hasDigest && strconv.FormatUint(e.id, 10) == s.LastID && xxhash.Sum64(raw) != s.lastDigest
}

// exceedsLimits reports whether an event lies beyond the output that the request allows.
func (s *EventSplitter) exceedsLimits(e event) bool {
	return s.Limits.Events > 0 && e.id > s.Limits.Events || s.Limits.DataBytes > 0 && s.dataBytes+len(e.data) > s.Limits.DataBytes
}

// record updates the state from an event and calls OnData.
func (s *EventSplitter) record(e event, raw []byte) {
	s.LastID = strconv.FormatUint(e.id, 10)
	s.lastDigest, s.hasDigest = xxhash.Sum64(raw), true
	s.Count++
	s.dataBytes += len(e.data)
	if s.OnData != nil {
		s.OnData(e.data)
	}
}
