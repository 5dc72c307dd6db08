package daemon

// FatalErrorReporter carries the first error after which a daemon must stop.
type FatalErrorReporter struct {
	firstError chan error
}

// NewFatalErrorReporter returns a reporter without an error.
func NewFatalErrorReporter() FatalErrorReporter {
	return FatalErrorReporter{firstError: make(chan error, 1)}
}

// ReportFatal reports an error. All but the first are dropped.
func (f FatalErrorReporter) ReportFatal(err error) {
	select {
	case f.firstError <- err:
	default:
	}
}

// Faults delivers the error after which the process must stop.
func (f FatalErrorReporter) Faults() <-chan error {
	return f.firstError
}
