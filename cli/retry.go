package cli

import (
	"errors"
	"io"
	"os"

	"github.com/briarcross/briarcross/operator"
)

// maxSubmitAttempts bounds how often a command sends the same change or order
// while its outcome is unknown.
const maxSubmitAttempts = 3

// outcomeUnknown reports whether the failed call may have been carried out.
func outcomeUnknown(err error) bool {
	var failure *operator.Failure
	return errors.As(err, &failure) && failure.Kind == operator.OutcomeUnknown
}

// readInput reads a file, or the standard input for "-".
func readInput(in io.Reader, file string) ([]byte, error) {
	switch file {
	case "":
		return nil, errors.New("the file name is missing")
	case "-":
		return io.ReadAll(in)
	default:
		return os.ReadFile(file)
	}
}
