package entryd

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/pb"
)

const (
	outputFilePrefix = "file-output-"
	millisPerSecond  = 1000
)

// jobObject describes a batch job to the caller, in the OpenAI format with
// additional fields. Times are Unix times in seconds.
type jobObject struct {
	ID             string    `json:"id"`
	Object         string    `json:"object"`
	Endpoint       string    `json:"endpoint"`
	Status         string    `json:"status"`
	OutputFileID   string    `json:"output_file_id,omitempty"`
	CreatedAt      uint64    `json:"created_at"`
	CompletedAt    uint64    `json:"completed_at,omitempty"`
	ExpiresAt      uint64    `json:"expires_at,omitempty"`
	RequestCounts  jobCounts `json:"request_counts"`
	Service        string    `json:"service"`
	DueAt          uint64    `json:"due_at"`
	AtRisk         bool      `json:"at_risk"`
	EstimatedEndAt uint64    `json:"estimated_end_at,omitempty"`
}

type jobCounts struct {
	Total     uint32 `json:"total"`
	Completed uint32 `json:"completed"`
	Failed    uint32 `json:"failed"`
}

type jobList struct {
	Object  string      `json:"object"`
	Data    []jobObject `json:"data"`
	HasMore bool        `json:"has_more"`
}

var jobStatus = map[pb.JobState]string{
	pb.JobState_JOB_RECEIVING: "validating",
	pb.JobState_JOB_RUNNING:   "in_progress",
	pb.JobState_JOB_COMPLETED: "completed",
	pb.JobState_JOB_CANCELLED: "cancelled",
	pb.JobState_JOB_EXPIRED:   "expired",
}

func newJobObject(job *pb.Job) jobObject {
	status := jobStatus[job.GetState()]
	if job.GetState() == pb.JobState_JOB_RUNNING && job.GetAtRisk() {
		status = "at_risk"
	}
	object := jobObject{
		ID:            job.GetJobId(),
		Object:        "batch",
		Endpoint:      job.GetEndpoint(),
		Status:        status,
		OutputFileID:  outputFilePrefix + job.GetJobId(),
		CreatedAt:     job.GetCreatedUnixMs() / millisPerSecond,
		CompletedAt:   job.GetFinishedUnixMs() / millisPerSecond,
		Service:       job.GetService(),
		DueAt:         job.GetDueUnixMs() / millisPerSecond,
		AtRisk:        job.GetAtRisk(),
		RequestCounts: jobCounts{Total: job.GetItems(), Completed: job.GetDone(), Failed: job.GetFailed()},
	}
	object.EstimatedEndAt = job.GetEstimateUnixMs() / millisPerSecond
	if job.GetFinishedUnixMs() > 0 {
		object.ExpiresAt = (job.GetFinishedUnixMs() + job.GetRetentionMs()) / millisPerSecond
	}
	return object
}

// resultObject describes the result of one item to the caller, as one line of
// the results.
type resultObject struct {
	CustomID string          `json:"custom_id"`
	Response *responseObject `json:"response"`
	Error    *errorObject    `json:"error"`
}

type responseObject struct {
	StatusCode uint32          `json:"status_code"`
	Body       json.RawMessage `json:"body"`
}

type errorObject struct {
	Message  string `json:"message"`
	Attempts uint32 `json:"attempts"`
}

func newResultObject(result *pb.ItemResult) resultObject {
	object := resultObject{CustomID: result.GetCustomId()}
	if result.GetStatus() > 0 {
		object.Response = &responseObject{StatusCode: result.GetStatus(), Body: jsonBody(result.GetBody())}
	}
	if result.GetOutcome() != pb.ItemOutcome_ITEM_DONE {
		object.Error = &errorObject{Message: result.GetError(), Attempts: result.GetAttempts()}
	}
	return object
}

// jsonBody returns a body as JSON. A body that is not JSON is encoded as a string.
func jsonBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, _ := json.Marshal(string(body))
	return text
}

func writeJob(ctx *fasthttp.RequestCtx, job *pb.Job) {
	ctx.Response.Header.Set(headerOutcome, outcomeLabels[pb.Outcome_OUTCOME_DONE])
	writeJSON(ctx, newJobObject(job))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

func writeJSONLine(w *bufio.Writer, value any) {
	line, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = w.Write(line)
	_ = w.WriteByte('\n')
}

// modelObject describes one model service in the list of models.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// serveModels lists the model services of the configuration in force.
func (d *Daemon) serveModels(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, service := range d.subscription.ActiveConfig().Services() {
		if service.GetKind() == pb.ServiceKind_SERVICE_MODEL {
			list.Data = append(list.Data, modelObject{ID: service.GetName(), Object: "model", OwnedBy: "briarcross"})
		}
	}
	writeJSON(ctx, list)
}
