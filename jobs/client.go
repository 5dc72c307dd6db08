package jobs

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/briarcross/briarcross/openai"
)

const (
	requestTimeout    = 30 * time.Second
	resultsTimeout    = 30 * time.Minute
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
	maxLineBytes      = 64 << 20

	pathBatches = "/v1/batches"

	headerCaller         = "Briarcross-Caller"
	headerOutcome        = "Briarcross-Outcome"
	headerIdempotencyKey = "Idempotency-Key"
	contentTypeJSONL     = "application/jsonl"

	outcomeLabelUnknown = "unknown"
)

// Job is a batch job as an entry shows it.
type Job struct {
	ID             string     `json:"id"`
	Endpoint       string     `json:"endpoint"`
	Status         string     `json:"status"`
	CreatedAt      int64      `json:"created_at"`
	CompletedAt    int64      `json:"completed_at,omitempty"`
	ExpiresAt      int64      `json:"expires_at,omitempty"`
	RequestCounts  ItemCounts `json:"request_counts"`
	Service        string     `json:"service"`
	DueAt          int64      `json:"due_at"`
	AtRisk         bool       `json:"at_risk"`
	EstimatedEndAt int64      `json:"estimated_end_at,omitempty"`
}

// ItemCounts count the items of a job.
type ItemCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// The states in which a job has ended.
const (
	StatusCompleted = "completed"
	StatusCancelled = "cancelled"
	StatusExpired   = "expired"
)

// Ended reports whether no item of the job will run any more.
func (j *Job) Ended() bool {
	switch j.Status {
	case StatusCompleted, StatusCancelled, StatusExpired:
		return true
	default:
		return false
	}
}

// JobPage is one page of a caller's jobs.
type JobPage struct {
	Data    []Job `json:"data"`
	HasMore bool  `json:"has_more"`
}

// Failure is an answer that tells that a call was not carried out, or that its
// outcome is not known.
type Failure struct {
	// StatusCode is the HTTP status; zero when no answer came.
	StatusCode int
	Reason     string
	// OutcomeUnknown is set when the call may have been carried out.
	OutcomeUnknown bool
	// RetryAfter is the time after which the entry wants to be asked again;
	// zero when repeating the call is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Reason
}

// Options configure a Client.
type Options struct {
	// EntryURL is the base URL of an entry or of the balancer before the entries.
	EntryURL string
	// Caller is sent where the installation has no callers' tokens.
	Caller string
	// Token is the caller's bearer token; empty sends none.
	Token string
	// TLS holds the authority of the entry's certificate.
	TLS *tls.Config
}

// Client calls an entry.
type Client struct {
	options    Options
	httpClient fasthttp.Client
}

// NewClient returns a client of an entry.
func NewClient(o Options) *Client {
	o.EntryURL = strings.TrimSuffix(o.EntryURL, "/")
	c := &Client{options: o}
	c.httpClient.TLSConfig = o.TLS
	c.httpClient.StreamResponseBody = true
	return c
}

// ContentIdempotencyKey returns the idempotency key that Submit uses for a body without
// one of its own.
func ContentIdempotencyKey(body []byte) string {
	digest := sha256.Sum256(body)
	return "sha256-" + hex.EncodeToString(digest[:])
}

// Submit submits a job of JSON lines. It repeats the submission with the same
// idempotency key until an answer comes or the context ends, so that a lost
// answer never makes a second job.
func (c *Client) Submit(ctx context.Context, body []byte, key string) (*Job, error) {
	if key == "" {
		key = ContentIdempotencyKey(body)
	}
	backoff := initialRetryDelay
	for {
		job, err := c.submitOnce(body, key)
		delay, retry := retryDelay(err, backoff)
		if !retry || !sleep(ctx, delay) {
			return job, err
		}
		backoff = min(2*backoff, maxRetryDelay)
	}
}

func (c *Client) submitOnce(body []byte, key string) (*Job, error) {
	job := &Job{}
	return job, c.call(fasthttp.MethodPost, pathBatches, job, func(request *fasthttp.Request) {
		request.Header.SetContentType(contentTypeJSONL)
		request.Header.Set(headerIdempotencyKey, key)
		request.SetBodyRaw(body)
	})
}

// retryDelay returns the time to wait before the same call is made again.
func retryDelay(err error, backoff time.Duration) (time.Duration, bool) {
	failure := &Failure{}
	if err == nil || !eris.As(err, &failure) {
		return 0, false
	}
	if failure.RetryAfter > 0 {
		return failure.RetryAfter, true
	}
	return backoff, failure.OutcomeUnknown
}

func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Get returns one job.
func (c *Client) Get(id string) (*Job, error) {
	job := &Job{}
	return job, c.call(fasthttp.MethodGet, pathBatches+"/"+url.PathEscape(id), job, nil)
}

// Cancel cancels a job and returns it. A job that has ended stays as it is.
func (c *Client) Cancel(id string) (*Job, error) {
	job := &Job{}
	return job, c.call(fasthttp.MethodPost, pathBatches+"/"+url.PathEscape(id)+"/cancel", job, nil)
}

// List returns at most limit of the caller's jobs after one ID.
func (c *Client) List(after string, limit int) (*JobPage, error) {
	query := url.Values{}
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	list := &JobPage{}
	return list, c.call(fasthttp.MethodGet, pathBatches+"?"+query.Encode(), list, nil)
}

// Results writes the results of a job as JSON lines in the order of its items
// and returns their number. An error means that the results are not whole.
func (c *Client) Results(id string, out io.Writer) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.options.EntryURL + pathBatches + "/" + url.PathEscape(id) + "/results")
	if err := c.send(request, response, resultsTimeout); err != nil {
		return 0, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return 0, newFailure(response, readBody(response))
	}
	return copyResults(out, bodyReader(response))
}

func copyResults(out io.Writer, body io.Reader) (int, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	written := 0
	for lines.Scan() {
		var result struct {
			CustomID *string `json:"custom_id"`
		}
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil || result.CustomID == nil {
			return written, eris.Errorf("results cut off after %d: %s", written, lines.Text())
		}
		if _, err := fmt.Fprintln(out, lines.Text()); err != nil {
			return written, err
		}
		written++
	}
	return written, eris.Wrapf(lines.Err(), "results cut off after %d", written)
}

func (c *Client) call(method, path string, result any, prepare func(*fasthttp.Request)) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.options.EntryURL + path)
	if prepare != nil {
		prepare(request)
	}
	if err := c.send(request, response, requestTimeout); err != nil {
		return err
	}
	body := readBody(response)
	if response.StatusCode() != fasthttp.StatusOK {
		return newFailure(response, body)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return &Failure{Reason: "the answer was cut off: " + err.Error(), OutcomeUnknown: true}
	}
	return nil
}

func (c *Client) send(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	if c.options.Token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.options.Token)
	}
	if c.options.Caller != "" {
		request.Header.Set(headerCaller, c.options.Caller)
	}
	if err := c.httpClient.DoTimeout(request, response, timeout); err != nil {
		return &Failure{Reason: fmt.Sprintf("no answer from %s: %v", c.options.EntryURL, err), OutcomeUnknown: true}
	}
	return nil
}

func bodyReader(response *fasthttp.Response) io.Reader {
	if stream := response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(response.Body())
}

func readBody(response *fasthttp.Response) []byte {
	body, _ := io.ReadAll(bodyReader(response))
	return body
}

// newFailure reads a refusal.
func newFailure(response *fasthttp.Response, body []byte) error {
	status := response.StatusCode()
	failure := &Failure{StatusCode: status, Reason: fmt.Sprintf("status %d", status)}
	if detail, ok := openai.ParseError(body); ok {
		failure.Reason = detail.Message
	}
	failure.OutcomeUnknown = string(response.Header.Peek(headerOutcome)) == outcomeLabelUnknown
	seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}
