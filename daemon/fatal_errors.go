package daemon

// FatalErrorReporter passes the first error after which a daemon must stop to
// the code that stops it.
type FatalErrorReporter struct {
	firstError chan error
}

// NewFatalErrorReporter returns a reporter that holds no error.
func NewFatalErrorReporter() FatalErrorReporter {
	return FatalErrorReporter{firstError: make(chan error, 1)}
}

// ReportFatal reports an error after which the daemon must stop. It never
// blocks; errors after the first are dropped.
func (f FatalErrorReporter) ReportFatal(err error) {
	select {
	case f.firstError <- err:
	default:
	}
}

// FatalErrors returns the channel that delivers the error passed to ReportFatal.
func (f FatalErrorReporter) FatalErrors() <-chan error {
	return f.firstError
}
