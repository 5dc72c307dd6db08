package clientlimit

// Backlog bounds work that has been accepted for clients and is not completed. A job takes part in
// it until all of its items have a result.
type Backlog struct {
	Items int
	Bytes int64
}

// Admits reports whether a job may be accepted beside an open backlog. An empty backlog admits each
// job.
func (b Backlog) Admits(open, job Backlog) bool {
	return open.Items == 0 || open.Items+job.Items <= b.Items && open.Bytes+job.Bytes <= b.Bytes
}
