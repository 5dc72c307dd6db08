package entrynode

import (
	"io"
	stdlog "log"
)

// discardLog drops the errors of single connections, which any caller can cause.
var discardLog = stdlog.New(io.Discard, "", 0)
