package entryd

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	filesPath   = "/v1/files"
	batchesPath = "/v1/batches"

	cancelSuffix  = "/cancel"
	resultsSuffix = "/results"

	jobIDBytes          = 12
	maxFirstLineBytes   = 1 << 20
	submitTimeout       = 30 * time.Minute
	uploadRetention     = 24 * time.Hour
	batchRequestTimeout = 10 * time.Second
	resultPageItems     = 256
	resultPageBytes     = 1 << 20
	defaultListLimit    = 20
	contentTypeJSONL    = "application/jsonl"
	contentTypeNDJSON   = "application/x-ndjson"
)

func newJobID() string {
	var id [jobIDBytes]byte
	_, _ = rand.Read(id[:])
	return "batch-" + hex.EncodeToString(id[:])
}

// serveBatches serves the paths of batch jobs and their files.
func (d *Daemon) serveBatches(ctx *fasthttp.RequestCtx, caller, path string) {
	rest, isBatch := strings.CutPrefix(path, batchesPath)
	if !isBatch {
		d.serveFiles(ctx, caller, strings.TrimPrefix(path, filesPath))
		return
	}
	rest = strings.TrimPrefix(rest, "/")
	switch {
	case rest == "" && ctx.IsPost():
		d.submitJob(ctx, caller)
	case rest == "":
		d.listJobs(ctx, caller)
	case strings.HasSuffix(rest, cancelSuffix) && ctx.IsPost():
		d.cancelJob(ctx, caller, strings.TrimSuffix(rest, cancelSuffix))
	case strings.HasSuffix(rest, resultsSuffix):
		d.serveResults(ctx, caller, strings.TrimSuffix(rest, resultsSuffix))
	default:
		d.showJob(ctx, caller, rest)
	}
}

// refuseUnconfigured refuses a job until the configuration is confirmed. It
// returns false if the job may proceed.
func (d *Daemon) refuseUnconfigured(ctx *fasthttp.RequestCtx) bool {
	if d.readiness.Configured() {
		return false
	}
	d.refuse(ctx, pb.Reason_REASON_CONFIG_STALE, "the configuration is not confirmed yet")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	return true
}

// submitJob submits the JSON lines in the body as a job, or starts an uploaded
// file if the body is not JSON lines.
func (d *Daemon) submitJob(ctx *fasthttp.RequestCtx, caller string) {
	if d.refuseUnconfigured(ctx) {
		return
	}
	switch string(ctx.Request.Header.ContentType()) {
	case contentTypeJSONL, contentTypeNDJSON:
	default:
		d.startStagedJob(ctx, caller)
		return
	}
	body, err := d.holdUpload(ctx)
	if err != nil {
		d.refuseBody(ctx, err)
		return
	}
	job, err := d.submitLines(ctx, caller, body)
	if err != nil {
		d.endUpload(ctx, err)
		return
	}
	writeJob(ctx, job)
}

// endUpload responds to an upload that was not accepted, and ends its connection if the rest of it
// is not read.
func (d *Daemon) endUpload(ctx *fasthttp.RequestCtx, err error) {
	if isDenied(err) {
		d.refuseBody(ctx, err)
		return
	}
	d.writeSubmitError(ctx, err)
	d.endConnection(ctx)
}

func bodyReader(ctx *fasthttp.RequestCtx) io.Reader {
	if stream := ctx.RequestBodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(ctx.PostBody())
}

// firstLine holds the fields of a job's first line that apply to the whole job.
type firstLine struct {
	URL  string `json:"url"`
	Body struct {
		Model string `json:"model"`
	} `json:"body"`
}

// peekFirstLine reads the first line without consuming it.
func peekFirstLine(reader *bufio.Reader) (firstLine, error) {
	var first firstLine
	peeked, err := reader.Peek(maxFirstLineBytes)
	line, _, found := bytes.Cut(peeked, []byte("\n"))
	if isDenied(err) {
		return first, err
	}
	if !found && err == nil {
		return first, &batch.LineError{Line: 1, Reason: "the line is too long"}
	}
	if len(bytes.TrimSpace(line)) == 0 {
		return first, &batch.LineError{Line: 1, Reason: "the line is empty"}
	}
	if err := json.Unmarshal(line, &first); err != nil {
		return first, &batch.LineError{Line: 1, Reason: "the line is not a JSON object: " + err.Error()}
	}
	return first, nil
}

// submitLines submits the JSON lines in body as a job.
func (d *Daemon) submitLines(ctx *fasthttp.RequestCtx, caller string, body io.Reader) (*pb.Job, error) {
	reader := bufio.NewReaderSize(body, maxFirstLineBytes)
	first, err := peekFirstLine(reader)
	if err != nil {
		return nil, err
	}
	options, err := d.newIntakeOptions(ctx, caller, first)
	if err != nil {
		return nil, err
	}
	timeoutCtx, cancel := context.WithTimeout(d.ctx, submitTimeout)
	defer cancel()
	return batch.NewIntake(options).Submit(timeoutCtx, reader, d.proposeBatch)
}

// stageJob commits the items of an uploaded file without accepting them as a
// job.
func (d *Daemon) stageJob(ctx *fasthttp.RequestCtx, caller string, file io.Reader) (batch.StagedJob, error) {
	reader := bufio.NewReaderSize(file, maxFirstLineBytes)
	first, err := peekFirstLine(reader)
	if err != nil {
		return batch.StagedJob{}, err
	}
	options, err := d.newIntakeOptions(ctx, caller, first)
	if err != nil {
		return batch.StagedJob{}, err
	}
	options.IdempotencyKey = ""
	options.ReceiveTimeoutMs = uint64(uploadRetention.Milliseconds())
	timeoutCtx, cancel := context.WithTimeout(d.ctx, submitTimeout)
	defer cancel()
	return batch.NewIntake(options).Stage(timeoutCtx, reader, d.proposeBatch)
}

// newIntakeOptions returns the options of a job from its first line, the request
// headers and the batch profile of its service.
func (d *Daemon) newIntakeOptions(ctx *fasthttp.RequestCtx, caller string, first firstLine) (batch.IntakeOptions, error) {
	service, _, profile, ok := d.subscription.ActiveConfig().ProfileOf(first.Body.Model)
	if !ok || profile == nil {
		return batch.IntakeOptions{}, &batch.LineError{Line: 1, Reason: "no service takes batch jobs for model " + first.Body.Model}
	}
	due := time.Now().Add(time.Duration(profile.GetDueMs()) * time.Millisecond)
	notIdempotent := string(ctx.Request.Header.Peek(headerIdempotent)) == "false"
	return batch.IntakeOptions{
		JobID:          newJobID(),
		Caller:         caller,
		IdempotencyKey: string(ctx.Request.Header.Peek(headerIdempotencyKey)),
		Service:        service.GetName(),
		Endpoint:       first.URL,
		Model:          first.Body.Model,
		Idempotent:     profile.GetIdempotent() && !notIdempotent,
		DueUnixMs:      uint64(due.UnixMilli()),
		RetentionMs:    profile.GetRetentionMs(),
		MaxAttempts:    profile.GetMaxAttempts(),
	}, nil
}

func (d *Daemon) proposeBatch(ctx context.Context, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	ctx, cancel := context.WithTimeout(ctx, batchRequestTimeout)
	defer cancel()
	return d.controlClient.Propose(ctx, transport.Batch, command)
}

func (d *Daemon) writeSubmitError(ctx *fasthttp.RequestCtx, err error) {
	var line *batch.LineError
	var submit *batch.SubmitError
	switch {
	case errors.As(err, &line):
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, line.Error())
	case errors.As(err, &submit) && submit.NotAccepted && !submit.Retry:
		d.refuse(ctx, pb.Reason_REASON_CLAIM_MISMATCH, submit.Error())
	case errors.As(err, &submit) && submit.NotAccepted:
		d.refuse(ctx, pb.Reason_REASON_CONTROL_UNAVAILABLE, submit.Error())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	default:
		d.metrics.refusals.WithLabelValues(pb.Reason_REASON_CONTROL_UNAVAILABLE.String()).Inc()
		ctx.Response.Header.Set(headerOutcome, outcomeLabels[pb.Outcome_OUTCOME_UNKNOWN])
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.SetContentType(contentTypeJSON)
		ctx.SetBody(openai.ErrorBody("unknown", err.Error()+"; send the job again"))
	}
}

func (d *Daemon) listJobs(ctx *fasthttp.RequestCtx, caller string) {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultListLimit
	}
	result, ok := d.queryBatch(ctx, &pb.Query{Query: &pb.Query_JobList{JobList: &pb.JobListQuery{
		Caller: caller,
		After:  string(ctx.QueryArgs().Peek("after")),
		Limit:  uint32(limit),
	}}})
	if !ok {
		return
	}
	list := jobList{Object: "list", Data: []jobObject{}, HasMore: len(result.GetJobList().GetJobs()) == limit}
	for _, job := range result.GetJobList().GetJobs() {
		list.Data = append(list.Data, newJobObject(job))
	}
	writeJSON(ctx, list)
}

func (d *Daemon) showJob(ctx *fasthttp.RequestCtx, caller, id string) {
	result, ok := d.queryBatch(ctx, &pb.Query{Query: &pb.Query_Job{Job: &pb.JobQuery{JobId: id, Caller: caller}}})
	if !ok {
		return
	}
	d.writeJobResponse(ctx, result.GetJob().GetError(), result.GetJob().GetJob())
}

func (d *Daemon) cancelJob(ctx *fasthttp.RequestCtx, caller, id string) {
	command := &pb.Command{Op: &pb.Command_JobCancel{JobCancel: &pb.JobCancel{JobId: id, Caller: caller}}}
	result, controlErr := d.proposeBatch(d.ctx, command)
	if controlErr != nil {
		d.refuseControlError(ctx, controlErr)
		return
	}
	d.writeJobResponse(ctx, result.GetJob().GetError(), result.GetJob().GetJob())
}

func (d *Daemon) writeJobResponse(ctx *fasthttp.RequestCtx, code pb.JobError, job *pb.Job) {
	if code == pb.JobError_JOB_NOT_FOUND {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "no such job")
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeJob(ctx, job)
}

// serveResults writes the results of a job as JSON lines in the order of its
// items.
func (d *Daemon) serveResults(ctx *fasthttp.RequestCtx, caller, id string) {
	from := uint32(ctx.QueryArgs().GetUintOrZero("from"))
	limit := uint32(ctx.QueryArgs().GetUintOrZero("limit"))
	first, ok := d.queryFirstPage(ctx, caller, id, from, limit)
	if !ok {
		return
	}
	ctx.SetContentType(contentTypeJSONL)
	streamBody(ctx, func(w *bufio.Writer) pb.Outcome {
		if err := d.writeResults(w, caller, id, limit, first); err != nil {
			writeJSONLine(w, json.RawMessage(openai.ErrorBody("cut_off", err.Error())))
			_ = w.Flush()
			return pb.Outcome_OUTCOME_UNKNOWN
		}
		return pb.Outcome_OUTCOME_DONE
	})
}

func (d *Daemon) queryFirstPage(ctx *fasthttp.RequestCtx, caller, id string, from, limit uint32) (*pb.ResultsAnswer, bool) {
	result, ok := d.queryBatch(ctx, resultsQuery(caller, id, from, limit))
	if !ok {
		return nil, false
	}
	if result.GetResults().GetError() == pb.JobError_JOB_NOT_FOUND {
		d.writeJobResponse(ctx, pb.JobError_JOB_NOT_FOUND, nil)
		return nil, false
	}
	return result.GetResults(), true
}

func resultsQuery(caller, id string, from, limit uint32) *pb.Query {
	page := uint32(resultPageItems)
	if limit > 0 {
		page = min(page, limit)
	}
	return &pb.Query{Query: &pb.Query_Results{Results: &pb.ResultsQuery{
		JobId:    id,
		Caller:   caller,
		From:     from,
		Limit:    page,
		MaxBytes: resultPageBytes,
	}}}
}

// writeResults writes page and the pages after it until limit results are
// written; a limit of zero means all.
func (d *Daemon) writeResults(w *bufio.Writer, caller, id string, limit uint32, page *pb.ResultsAnswer) error {
	written := uint32(0)
	for {
		for _, result := range page.GetResults() {
			writeJSONLine(w, newResultObject(result))
			written++
			if limit > 0 && written == limit {
				return w.Flush()
			}
		}
		if err := w.Flush(); err != nil || page.GetEnd() {
			return err
		}
		next, err := d.queryNextPage(caller, id, page.GetNext(), remainingLimit(limit, written))
		if err != nil {
			return err
		}
		page = next
	}
}

func remainingLimit(limit, written uint32) uint32 {
	if limit == 0 {
		return 0
	}
	return limit - written
}

func (d *Daemon) queryNextPage(caller, id string, from, limit uint32) (*pb.ResultsAnswer, error) {
	ctx, cancel := context.WithTimeout(d.ctx, batchRequestTimeout)
	defer cancel()
	result, controlErr := d.controlClient.Query(ctx, resultsQuery(caller, id, from, limit))
	if controlErr != nil {
		return nil, eris.New(controlErr.GetReason())
	}
	return result.GetResults(), nil
}

func (d *Daemon) queryBatch(ctx *fasthttp.RequestCtx, query *pb.Query) (*pb.QueryResult, bool) {
	timeoutCtx, cancel := context.WithTimeout(d.ctx, batchRequestTimeout)
	defer cancel()
	result, controlErr := d.controlClient.Query(timeoutCtx, query)
	if controlErr != nil {
		d.refuseControlError(ctx, controlErr)
		return nil, false
	}
	return result, true
}

func (d *Daemon) refuseControlError(ctx *fasthttp.RequestCtx, controlErr *pb.ControlError) {
	d.refuse(ctx, pb.Reason_REASON_CONTROL_UNAVAILABLE, controlErr.GetReason())
	if controlErr.GetCode() == pb.ControlError_UNKNOWN {
		ctx.Response.Header.Set(headerOutcome, outcomeLabels[pb.Outcome_OUTCOME_UNKNOWN])
	}
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(1))
}
