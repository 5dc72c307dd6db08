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
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/answer"
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

// Job is a batch job as returned by an entry. Times are Unix times in seconds.
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

// ItemCounts holds the numbers of items of a job by their state.
type ItemCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Values of Job.Status for a job that has ended.
const (
	StatusCompleted = "completed"
	StatusCancelled = "cancelled"
	StatusExpired   = "expired"
)

// Ended reports whether the job has ended, so that none of its items will run.
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

// Failure is the error of a request that the entry refused or whose outcome is
// unknown.
type Failure struct {
	// StatusCode is the HTTP status; zero if there was no complete response.
	StatusCode int
	Reason     string
	// OutcomeUnknown is set when the request may have been executed.
	OutcomeUnknown bool
	// RetryAfter is the delay before a retry that the entry requested; zero if it
	// requested none.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Reason
}

// Options configures a Client.
type Options struct {
	// EntryURL is the base URL of an entry or of the load balancer in front of the
	// entries.
	EntryURL string
	// Caller names the caller to an installation without callers' tokens; empty
	// sends no name.
	Caller string
	// Token is the caller's bearer token; empty sends none.
	Token string
	// TLS holds the certificate authority of the entry's certificate.
	TLS *tls.Config
}

// Client sends requests to an entry.
type Client struct {
	options    Options
	httpClient http.Client
}

// NewClient returns a client of the entry at o.EntryURL.
func NewClient(o Options) *Client {
	o.EntryURL = strings.TrimSuffix(o.EntryURL, "/")
	transport := &http.Transport{TLSClientConfig: o.TLS, DisableCompression: true}
	return &Client{options: o, httpClient: http.Client{Transport: transport, CheckRedirect: answer.RefuseRedirect}}
}

// ContentIdempotencyKey returns the idempotency key that Submit uses for a body
// when its key argument is empty.
func ContentIdempotencyKey(body []byte) string {
	digest := sha256.Sum256(body)
	return "sha256-" + hex.EncodeToString(digest[:])
}

// Submit submits a job of JSON lines. It repeats the submission with the same
// idempotency key until a definite response arrives or the context ends, so that
// a lost response never creates a second job.
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
	header := http.Header{"Content-Type": {contentTypeJSONL}, headerIdempotencyKey: {key}}
	return job, c.call(http.MethodPost, pathBatches, job, header, body)
}

// retryDelay returns the delay before a retry after err, or false if the request
// succeeded or a retry would not help.
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

// Get returns the job with an ID.
func (c *Client) Get(id string) (*Job, error) {
	job := &Job{}
	return job, c.call(http.MethodGet, pathBatches+"/"+url.PathEscape(id), job, nil, nil)
}

// Cancel cancels a job and returns it. A job that has ended is returned unchanged.
func (c *Client) Cancel(id string) (*Job, error) {
	job := &Job{}
	return job, c.call(http.MethodPost, pathBatches+"/"+url.PathEscape(id)+"/cancel", job, nil, nil)
}

// List returns a page of at most limit jobs of the caller, starting after the job
// ID after; empty starts with the first job.
func (c *Client) List(after string, limit int) (*JobPage, error) {
	query := url.Values{}
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	list := &JobPage{}
	return list, c.call(http.MethodGet, pathBatches+"?"+query.Encode(), list, nil, nil)
}

// Results writes the results of a job to out, as JSON lines in the order of its
// items, and returns their number. An error means that results are missing.
func (c *Client) Results(id string, out io.Writer) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resultsTimeout)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, pathBatches+"/"+url.PathEscape(id)+"/results", nil, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, newFailure(response, readBody(response))
	}
	return copyResults(out, response.Body)
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
			return written, eris.Errorf("results incomplete after %d items: invalid line: %s", written, lines.Text())
		}
		if _, err := fmt.Fprintln(out, lines.Text()); err != nil {
			return written, err
		}
		written++
	}
	return written, eris.Wrapf(lines.Err(), "results incomplete after %d items", written)
}

func (c *Client) call(method, path string, result any, header http.Header, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	received := readBody(response)
	if response.StatusCode != http.StatusOK {
		return newFailure(response, received)
	}
	if err := json.Unmarshal(received, result); err != nil {
		return &Failure{Reason: "decode the response of the entry: " + err.Error(), OutcomeUnknown: true}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.options.EntryURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "request to entry")
	}
	maps.Copy(request.Header, header)
	if c.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	if c.options.Caller != "" {
		request.Header.Set(headerCaller, c.options.Caller)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, &Failure{Reason: fmt.Sprintf("no response from %s: %v", c.options.EntryURL, err), OutcomeUnknown: true}
	}
	if !answer.IsStatus(response.StatusCode) {
		_ = response.Body.Close()
		return nil, &Failure{Reason: fmt.Sprintf("%s responded with status %s, which is none", c.options.EntryURL, response.Status), OutcomeUnknown: true}
	}
	return response, nil
}

// readBody reads what has come of a body. One that is cut cannot be decoded.
func readBody(response *http.Response) []byte {
	body, _ := io.ReadAll(response.Body)
	return body
}

// newFailure returns the Failure for a response with an error status.
func newFailure(response *http.Response, body []byte) error {
	status := response.StatusCode
	failure := &Failure{StatusCode: status, Reason: fmt.Sprintf("entry responded with HTTP status %d", status)}
	if detail, ok := openai.ParseError(body); ok {
		failure.Reason = detail.Message
	}
	failure.OutcomeUnknown = response.Header.Get(headerOutcome) == outcomeLabelUnknown
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}
