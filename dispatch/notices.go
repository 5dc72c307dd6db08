package dispatch

// NoticeSource is how a daemon learned what an upstream stated in an answer.
type NoticeSource string

// The sources of notices.
const (
	// SourceAnswer is an answer that this daemon received from the upstream.
	SourceAnswer NoticeSource = "answer"
	// SourceWorker is an answer that a worker of this daemon received.
	SourceWorker NoticeSource = "worker"
	// SourceReport is the load report of another daemon.
	SourceReport NoticeSource = "report"
	// SourceExpiry means that nothing was heard for long.
	SourceExpiry NoticeSource = "expiry"
)
