package answer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"github.com/briarcross/briarcross/internal/connpool"
)

const (
	// maxStaleAnswers limits the answers to other requests that one exchange discards.
	maxStaleAnswers = 2
	// MaxStaleBodyBytes limits how much of the body of a discarded answer is read.
	MaxStaleBodyBytes = 256 << 10
	// maxHeadBytes limits the head of an answer, with the interim responses before it.
	maxHeadBytes = 64 << 10
)

// Reason is why an exchange has no answer.
type Reason string

// Reasons of exchanges without an answer.
const (
	// None means that the connection or the exchange ended before the end of a head.
	None Reason = "no_answer"
	// OnlyInterim is None after interim responses.
	OnlyInterim Reason = "only_interim"
	// Invalid means that the upstream sent bytes that are no answer.
	Invalid Reason = "invalid_answer"
	// Foreign means that the upstream sent only answers that belong, or may belong, to other
	// requests.
	Foreign Reason = "foreign_answer"
)

// ConnFailed reports whether the connection or the exchange ended before an answer, and not for
// what the upstream sent.
func (r Reason) ConnFailed() bool { return r == None || r == OnlyInterim }

// Error reports an exchange without an answer.
type Error struct {
	Reason Reason
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return string(e.Reason) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ReasonOf returns the reason of an error of Read, and None for other errors.
func ReasonOf(err error) Reason {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Reason
	}
	return None
}

// Answer is the head of an answer, with the body still to be read.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body in bytes, or negative if it is not
	// announced.
	ContentLength int64
	// EndMarked is set if a length or chunks mark the end of the body. Otherwise it ends
	// with its connection.
	EndMarked bool
	// Body returns io.EOF only after a whole body.
	Body io.Reader

	// hasID is set if IDs tell the answer from those to other requests.
	hasID bool
	// closes is set if the connection ends with the answer.
	closes   bool
	complete bool
}

// Complete reports whether the whole body has been read.
func (a *Answer) Complete() bool { return a.complete }

// IsStatus reports whether a status is one of an answer.
func IsStatus(status int) bool { return status >= 200 && status <= 599 }

// RefuseRedirect is the CheckRedirect hook of clients to which a redirect is an answer as any other.
func RefuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// KeepsConn reports whether another request may be sent on the connection: the body has been read
// whole, and the upstream keeps the connection open and sends IDs back.
func (a *Answer) KeepsConn() bool { return a.complete && !a.closes && a.hasID }

// Request is what an answer depends on.
type Request struct {
	// ID is the ID with which the request was sent. Empty means that answers cannot be told
	// apart by IDs; the request must then be the first one on its connection.
	ID     string
	Method string
	// IDOf returns the ID in the header of an answer, or empty.
	IDOf func(http.Header) string
}

// Read reads the head of the answer to a request that was written whole to a connection of
// Pool.GetFor, the last one on that connection. An error is an *Error.
func Read(conn *connpool.Conn, request Request) (*Answer, error) {
	for range maxStaleAnswers + 1 {
		answer, err := readHead(conn, request.Method)
		if err != nil {
			return nil, err
		}
		id := request.IDOf(answer.Header)
		answer.hasID = id != "" && request.ID != ""
		switch {
		case answer.hasID && id == request.ID, !answer.hasID && !conn.Reused:
			return answer, nil
		case !answer.hasID:
			return nil, &Error{Foreign, eris.New("answer without an ID may belong to an earlier request")}
		}
		if err := discard(answer); err != nil {
			return nil, &Error{Foreign, eris.Wrap(err, "discard answer to another request")}
		}
	}
	return nil, &Error{Foreign, eris.New("received only answers to other requests")}
}

// readHead reads the next head that is not of an interim response.
func readHead(conn *connpool.Conn, method string) (*Answer, error) {
	conn.LimitReads(maxHeadBytes)
	defer conn.UnlimitReads()
	for interim := false; ; interim = true {
		response, err := http.ReadResponse(conn.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, &Error{reasonOfHead(err, interim), eris.Wrap(err, "read head")}
		}
		switch status := response.StatusCode; {
		case response.ProtoMajor != 1:
			return nil, &Error{Invalid, eris.Errorf("answer in protocol %s", strconv.Quote(response.Proto))}
		case status == http.StatusSwitchingProtocols || status/100 != 1 && !IsStatus(status):
			return nil, &Error{Invalid, eris.Errorf("status %s", strconv.Quote(response.Status))}
		case !hasValidFields(response.Header):
			return nil, &Error{Invalid, eris.New("header has a field that is none")}
		case IsStatus(status):
			return newAnswer(conn, response), nil
		}
	}
}

func hasValidFields(header http.Header) bool {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || !allOf(values, httpguts.ValidHeaderFieldValue) {
			return false
		}
	}
	return true
}

func allOf(values []string, valid func(string) bool) bool {
	return !slices.ContainsFunc(values, func(value string) bool { return !valid(value) })
}

// reasonOfHead returns the reason for which the head of a response could not be read.
func reasonOfHead(err error, afterInterim bool) Reason {
	var failed net.Error
	switch {
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.As(err, &failed):
		return Invalid
	case afterInterim:
		return OnlyInterim
	}
	return None
}

func newAnswer(conn *connpool.Conn, response *http.Response) *Answer {
	answer := &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		EndMarked:     response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody,
		closes:        response.Close,
	}
	answer.Body = &body{answer, conn, response.Body}
	return answer
}

// body is the body of an answer.
type body struct {
	answer *Answer
	conn   *connpool.Conn
	source io.Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.answer.EndMarked && !b.answer.complete {
		if endErr := b.conn.CheckEnd(); endErr != nil {
			return n, endErr
		}
	}
	b.answer.complete = true
	return n, io.EOF
}

// discard reads the body of an answer to another request, so that the next answer on the
// connection can be read.
func discard(answer *Answer) error {
	if answer.closes {
		return eris.New("connection ends with that answer")
	}
	switch _, err := io.CopyN(io.Discard, answer.Body, MaxStaleBodyBytes); {
	case err == nil:
		// The next answer cannot be found without reading the rest.
		return eris.Errorf("its body has %d bytes or more", MaxStaleBodyBytes)
	case !errors.Is(err, io.EOF):
		return eris.Wrap(err, "read body")
	}
	return nil
}
