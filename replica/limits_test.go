package replica

import (
	"testing"

	"github.com/briarcross/briarcross/transport"
)

// A command as large as a message could be accepted, but not be replicated, and nothing after it.
func TestLargestCommandFitsAMessage(t *testing.T) {
	// A message adds the entries before the command, up to 512 KiB, and headers.
	if maxCommandBytes > transport.MaxFrameBytes-1<<20 {
		t.Fatalf("a command may have %d bytes, a message %d", maxCommandBytes, transport.MaxFrameBytes)
	}
}
