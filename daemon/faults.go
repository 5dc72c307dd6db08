package daemon

// FaultReporter carries the first error after which a daemon must stop.
type FaultReporter struct {
	first chan error
}

// NewFaultReporter returns a reporter without an error.
func NewFaultReporter() FaultReporter {
	return FaultReporter{first: make(chan error, 1)}
}

// ReportFatal reports an error. All but the first are dropped.
func (f FaultReporter) ReportFatal(err error) {
	select {
	case f.first <- err:
	default:
	}
}

// Faults delivers the error after which the process must stop.
func (f FaultReporter) Faults() <-chan error {
	return f.first
}
