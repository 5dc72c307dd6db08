package entrynode

import (
	"io"
	stdlog "log"
)

// quietLog drops the faults of single connections, which any caller can cause.
var quietLog = stdlog.New(io.Discard, "", 0)
