package entryd

import (
	"encoding/json"
	"io"
	"mime"
	"mime/multipart"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/batch"
	"github.com/briarcross/briarcross/pb"
)

const (
	contentSuffix    = "/content"
	inputFilePrefix  = "file-"
	maxMetadataBytes = 1 << 20
	batchFilePurpose = "batch"
)

// serveFiles serves the files of batch jobs: the upload of an input file and the
// download of the results.
func (d *Daemon) serveFiles(ctx *fasthttp.RequestCtx, caller, rest string) {
	rest = strings.TrimPrefix(rest, "/")
	if rest == "" && ctx.IsPost() {
		d.uploadFile(ctx, caller)
		return
	}
	id, isContent := strings.CutSuffix(rest, contentSuffix)
	job, isOutput := strings.CutPrefix(id, outputFilePrefix)
	if isContent && isOutput {
		d.serveResults(ctx, caller, job)
		return
	}
	d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "no such file")
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// fileObject describes an uploaded file to the caller.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Purpose   string `json:"purpose"`
	Filename  string `json:"filename"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at"`
	Lines     uint32 `json:"lines"`
}

// uploadFile commits the items of a file as a staged job, which a later request
// starts.
func (d *Daemon) uploadFile(ctx *fasthttp.RequestCtx, caller string) {
	if d.refuseUnconfigured(ctx) {
		return
	}
	body, err := d.holdUpload(ctx)
	if err != nil {
		d.refuseBody(ctx, err)
		return
	}
	file, err := openUpload(ctx, body)
	if isDenied(err) {
		d.refuseBody(ctx, err)
		return
	}
	if err != nil {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, err.Error())
		return
	}
	staged, err := d.stageJob(ctx, caller, file)
	if err != nil {
		d.endUpload(ctx, err)
		return
	}
	now := time.Now()
	ctx.Response.Header.Set(headerOutcome, outcomeLabels[pb.Outcome_OUTCOME_DONE])
	writeJSON(ctx, fileObject{
		ID:        inputFilePrefix + staged.String(),
		Object:    "file",
		Purpose:   batchFilePurpose,
		Filename:  file.FileName(),
		CreatedAt: now.Unix(),
		ExpiresAt: now.Add(uploadRetention).Unix(),
		Lines:     staged.Items,
	})
}

// openUpload returns the file part of a multipart form. The purpose
// field must come before it to be checked.
func openUpload(ctx *fasthttp.RequestCtx, body io.Reader) (*multipart.Part, error) {
	_, parameters, err := mime.ParseMediaType(string(ctx.Request.Header.ContentType()))
	if err != nil || parameters["boundary"] == "" {
		return nil, eris.New("the body must be a multipart form")
	}
	form := multipart.NewReader(body, parameters["boundary"])
	for {
		part, err := form.NextPart()
		if isDenied(err) {
			return nil, err
		}
		if err != nil {
			return nil, eris.New("the form has no file")
		}
		switch part.FormName() {
		case "file":
			return part, nil
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxMetadataBytes))
			if err != nil || string(value) != batchFilePurpose {
				return nil, eris.New("the purpose must be " + batchFilePurpose)
			}
		}
	}
}

// batchRequest is the body of a request to start an uploaded file as a job.
type batchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// startStagedJob starts the items of an uploaded file as a job. A repeated
// request returns the same job.
func (d *Daemon) startStagedJob(ctx *fasthttp.RequestCtx, caller string) {
	body, err := d.readBody(ctx, maxMetadataBytes)
	if isDenied(err) {
		d.refuseBody(ctx, err)
		return
	}
	var request batchRequest
	if err != nil || json.Unmarshal(body, &request) != nil {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "the body must name an input_file_id, or be JSON lines of type "+contentTypeJSONL)
		return
	}
	staged, err := batch.ParseStagedJob(strings.TrimPrefix(request.InputFileID, inputFilePrefix))
	if err != nil {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "no such input file")
		return
	}
	due, err := dueTime(request.CompletionWindow)
	if err != nil {
		d.refuse(ctx, pb.Reason_REASON_BAD_REQUEST, "the completion_window must be a duration such as 24h")
		return
	}
	job, err := batch.AcceptStagedJob(d.ctx, staged, caller, due, d.proposeBatch)
	if err != nil {
		d.writeSubmitError(ctx, err)
		return
	}
	writeJob(ctx, job)
}

// dueTime returns the end of a completion window that starts now, as a Unix time
// in milliseconds, or zero for an empty window.
func dueTime(window string) (uint64, error) {
	if window == "" {
		return 0, nil
	}
	length, err := time.ParseDuration(window)
	if err != nil || length <= 0 {
		return 0, eris.Errorf("completion window %q is not a positive duration", window)
	}
	return uint64(time.Now().Add(length).UnixMilli()), nil
}
