// Package identifier checks names and IDs that come from outside of the system before they are
// kept, sent to other daemons or logged.
package identifier

import (
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// MaxBytes is the length that most identifiers may have. Tables with one record for each engine
// fit a message with it.
const MaxBytes = 128

// maxQuotedBytes limits how much of a rejected text is quoted.
const maxQuotedBytes = 64

// Check returns an error that names what the text is for, unless it is 1 to maxBytes bytes of
// UTF-8 without control characters.
func Check(what, text string, maxBytes int) error {
	if text == "" {
		return eris.Errorf("%s is missing", what)
	}
	return CheckOptional(what, text, maxBytes)
}

// CheckOptional is Check for a text that may be empty.
func CheckOptional(what, text string, maxBytes int) error {
	switch {
	case len(text) > maxBytes:
		return eris.Errorf("%s has %d bytes, more than %d: %s", what, len(text), maxBytes, Quote(text))
	case !utf8.ValidString(text):
		return eris.Errorf("%s is not UTF-8: %s", what, Quote(text))
	case strings.ContainsFunc(text, isControl):
		return eris.Errorf("%s has a control character: %s", what, Quote(text))
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r >= 0x7f && r < 0xa0 }

// Quote returns a text from outside in a form for log lines: quoted, as ASCII and of bounded
// length.
func Quote(text string) string {
	if len(text) <= maxQuotedBytes {
		return strconv.QuoteToASCII(text)
	}
	return strconv.QuoteToASCII(text[:maxQuotedBytes]) + "..."
}

// maxMessageBytes limits a message of another process.
const maxMessageBytes = 512

// Message returns a message of another process, such as the text of an error, as UTF-8 of bounded
// length.
func Message(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxMessageBytes)], "\uFFFD")
}

// Loggable returns a text from outside unchanged if it passes Check, and as Quote does otherwise.
func Loggable(text string) string {
	if CheckOptional("", text, MaxBytes) == nil {
		return text
	}
	return Quote(text)
}
