package eventlog

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// New returns the logger of a daemon. Each line has the daemon's ID and role.
func New(out io.Writer, daemon, role string) *log.Logger {
	return log.NewWithOptions(out, log.Options{
		Level:           log.InfoLevel,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}).With("daemon", daemon, "role", role)
}

// Event names. docs/operators/events.md lists them with their fields.
const (
	StartFailed           = "start_failed"
	Started               = "started"
	Stopping              = "stopping"
	Stopped               = "stopped"
	SettingsReloaded      = "settings_reloaded"
	SettingsRejected      = "settings_rejected"
	DependencyLost        = "dependency_lost"
	DependencyFound       = "dependency_found"
	RequestRefused        = "request_refused"
	RequestPlaced         = "request_placed"
	RequestRetried        = "request_retried"
	AttemptInterrupted    = "attempt_interrupted"
	RequestResumed        = "request_resumed"
	RequestHedged         = "request_hedged"
	HedgeSettled          = "hedge_settled"
	RequestFinished       = "request_finished"
	RequestCut            = "request_cut"
	RequestPanicked       = "request_panicked"
	UpstreamChanged       = "upstream_changed"
	UpstreamSilent        = "upstream_silent"
	UpstreamJudged        = "upstream_judged"
	UpstreamLeaving       = "upstream_leaving"
	UpstreamRateChanged   = "upstream_rate_changed"
	CustomerOverQuota     = "customer_over_quota"
	CustomerWithinQuota   = "customer_within_quota"
	PromptPartQuarantined = "prompt_part_quarantined"
	PromptPartReleased    = "prompt_part_released"
	HeartbeatRejected     = "heartbeat_rejected"
	RoutingApplied        = "routing_applied"
	RoutingRejected       = "routing_rejected"
	RoutingAccepted       = "routing_accepted"
	LeaderChanged         = "leader_changed"
	LeaderMissing         = "leader_missing"
	MembersChanged        = "members_changed"
	StorageFounded        = "storage_founded"
	StorageRetiring       = "storage_retiring"
	StorageRetired        = "storage_retired"
	JobAccepted           = "job_accepted"
	JobRefused            = "job_refused"
	JobEnded              = "job_ended"
	ItemPlaced            = "item_placed"
	ItemYielded           = "item_yielded"
	ItemPostponed         = "item_postponed"
	ItemRetried           = "item_retried"
	ItemRestarted         = "item_restarted"
	ItemSettled           = "item_settled"
	ItemsStalled          = "items_stalled"
	ReadRefused           = "read_refused"
	UpdateNotSent         = "update_not_sent"
	RecordNotSent         = "record_not_sent"
	RecordNotSaved        = "record_not_saved"
	UpstreamsNotLoaded    = "upstreams_not_loaded"
	ClientsLimited        = "clients_limited"
	UpstreamsNotSaved     = "upstreams_not_saved"
	JobsNotExpired        = "jobs_not_expired"
	ProgressNotSaved      = "progress_not_saved"
	AttemptsNotRecorded   = "attempts_not_recorded"
)
