package cli

import (
	"errors"
	"io"
	"os"

	"github.com/briarcross/briarcross/operator"
)

// maxSubmitAttempts is how often a command sends a change whose outcome is not
// known.
const maxSubmitAttempts = 3

// outcomeUnknown reports whether a call may have been carried out.
func outcomeUnknown(err error) bool {
	var failure *operator.Failure
	return errors.As(err, &failure) && failure.Kind == operator.Unknown
}

// readInput reads a file, or the standard input for "-".
func readInput(in io.Reader, file string) ([]byte, error) {
	switch file {
	case "":
		return nil, errors.New("is missing")
	case "-":
		return io.ReadAll(in)
	default:
		return os.ReadFile(file)
	}
}
