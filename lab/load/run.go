package load

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
)

// HTTP headers of the entry.
const (
	headerCaller     = "Briarcross-Caller"
	headerIdempotent = "Briarcross-Idempotent"
	headerReason     = "Briarcross-Reason"
	headerRequestID  = "Briarcross-Request-Id"
)

// Progress is the progress of a run.
type Progress struct {
	Elapsed  time.Duration
	Started  int
	Planned  int
	InFlight int
}

// Runner runs a plan.
type Runner struct {
	plan        *Plan
	clients     []engine.Client
	stats       []*ClassStats
	inFlight    atomic.Int64
	started     atomic.Int64
	maxLateness atomic.Int64
	startTime   time.Time
	workers     sync.WaitGroup
	mu          sync.Mutex
	// nonIdempotentIDs holds the IDs of the requests that may run at most once.
	nonIdempotentIDs []string
	violations       []string
	// OnProgress, if set, is called about once per second.
	OnProgress func(Progress)
}

// NewRunner returns a runner for a valid plan.
func NewRunner(plan *Plan) *Runner {
	r := &Runner{plan: plan}
	for _, target := range plan.Targets {
		r.clients = append(r.clients, engine.NewModelClient(target, engine.Options{TargetIsEntry: true}))
	}
	for range plan.Classes {
		r.stats = append(r.stats, newClassStats())
	}
	return r
}

// Run starts all arrivals, waits for every response and returns a report. If the
// context is cancelled, it returns an error.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	arrivals := r.plan.Arrivals()
	for _, arrival := range arrivals {
		r.stats[arrival.ClassIndex].updateCounts(func(c *Counts) { c.Planned++ })
	}
	r.startTime = time.Now()
	stop := r.startProgress(len(arrivals))
	err := r.startArrivals(ctx, arrivals)
	r.workers.Wait()
	elapsed := time.Since(r.startTime)
	stop()
	for _, client := range r.clients {
		client.Close()
	}
	if err != nil {
		return nil, err
	}
	r.checkLedgers(ctx)
	return r.buildReport(elapsed), nil
}

// startArrivals starts each arrival at its planned time, without waiting for
// earlier ones.
func (r *Runner) startArrivals(ctx context.Context, arrivals []Arrival) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, arrival := range arrivals {
		timer.Reset(time.Until(r.startTime.Add(arrival.Offset)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "load: run interrupted before all arrivals were started")
		}
		r.startArrival(ctx, arrival)
	}
	return nil
}

func (r *Runner) startArrival(ctx context.Context, arrival Arrival) {
	lateness := int64(time.Since(r.startTime.Add(arrival.Offset)))
	if lateness > r.maxLateness.Load() {
		r.maxLateness.Store(lateness)
	}
	r.started.Add(1)
	class := &r.plan.Classes[arrival.ClassIndex]
	if class.Kind == Online && r.inFlight.Load() >= int64(r.plan.MaxInFlight) {
		r.stats[arrival.ClassIndex].updateCounts(func(c *Counts) { c.Skipped++ })
		return
	}
	r.inFlight.Add(1)
	r.workers.Go(func() {
		defer r.inFlight.Add(-1)
		ctx, cancel := context.WithDeadline(ctx, r.startTime.Add(arrival.Offset).Add(class.Timeout))
		defer cancel()
		if class.Kind == Batch {
			r.runJob(ctx, arrival)
			return
		}
		r.stats[arrival.ClassIndex].addObservation(r.sendRequest(ctx, arrival))
	})
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// sendRequest sends one online request and checks the response.
func (r *Runner) sendRequest(ctx context.Context, arrival Arrival) observation {
	class := &r.plan.Classes[arrival.ClassIndex]
	plannedTime := r.startTime.Add(arrival.Offset)
	reader := responseReader{plannedTime: plannedTime}
	client := r.clients[arrival.Number%len(r.clients)]
	result := client.Run(ctx, class.newRequest(arrival), reader.consume)
	if class.NonIdempotent && reader.requestID != "" {
		r.mu.Lock()
		r.nonIdempotentIDs = append(r.nonIdempotentIDs, reader.requestID)
		r.mu.Unlock()
	}
	observed := observation{
		tokens:       result.Tokens,
		firstToken:   reader.firstTokenTime.Sub(plannedTime),
		tokenGaps:    reader.tokenGaps,
		responseTime: time.Since(plannedTime),
		reason:       reader.reason,
	}
	switch {
	case result.Status >= 400:
		observed.outcome = outcomeRefused
		observed.reason = strconv.Itoa(result.Status) + " " + reader.reason
	case !result.Complete:
		observed.outcome = outcomeFailed
		observed.reason = failureReason(result.Err)
	case reader.text.String() != labengine.ResponseText(arrival.Prompt, class.MaxTokens):
		observed.outcome = outcomeWrong
		r.addViolation("the answer to arrival %d of class %s is not its own", arrival.Number, class.Name)
	default:
		observed.outcome = outcomeDone
	}
	return observed
}

// maxReasonBytes bounds a failure reason in the report.
const maxReasonBytes = 100

func failureReason(err error) string {
	if err == nil {
		return "no answer"
	}
	text := err.Error()
	return text[:min(len(text), maxReasonBytes)]
}

func (c *Class) newRequest(arrival Arrival) engine.Request {
	body, err := json.Marshal(completionBody{
		Model:     c.Service,
		Prompt:    arrival.Prompt,
		MaxTokens: c.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		panic(err) // Strings, integers and booleans always marshal.
	}
	return engine.Request{
		ID:      "load-" + strconv.Itoa(arrival.Number),
		Method:  "POST",
		Path:    openai.PathCompletions,
		Headers: c.requestHeaders(),
		Body:    body,
	}
}

func (c *Class) requestHeaders() []*pb.HeaderField {
	headers := []*pb.HeaderField{{Name: "Content-Type", Value: "application/json"}}
	if c.Caller != "" {
		headers = append(headers, &pb.HeaderField{Name: headerCaller, Value: c.Caller})
	}
	if c.NonIdempotent {
		headers = append(headers, &pb.HeaderField{Name: headerIdempotent, Value: "false"})
	}
	return headers
}

// responseReader collects the text and token times of one response.
type responseReader struct {
	plannedTime    time.Time
	firstTokenTime time.Time
	lastTokenTime  time.Time
	tokenGaps      []time.Duration
	text           strings.Builder
	reason         string
	requestID      string
}

func (r *responseReader) consume(part engine.ResponsePart) error {
	switch part := part.(type) {
	case engine.ResponseHead:
		r.consumeHead(part)
	case engine.ResponseData:
		if part.Tokens > 0 {
			r.consumeData(part)
		}
	}
	return nil
}

func (r *responseReader) consumeHead(head engine.ResponseHead) {
	for _, field := range head.Headers {
		switch field.GetName() {
		case headerReason:
			r.reason = field.GetValue()
		case headerRequestID:
			r.requestID = field.GetValue()
		}
	}
}

func (r *responseReader) consumeData(data engine.ResponseData) {
	now := time.Now()
	if r.firstTokenTime.IsZero() {
		r.firstTokenTime = now
	} else {
		r.tokenGaps = append(r.tokenGaps, now.Sub(r.lastTokenTime))
	}
	r.lastTokenTime = now
	var chunk openai.Chunk
	if json.Unmarshal(data.Payload, &chunk) != nil {
		return
	}
	for _, choice := range chunk.Choices {
		if choice.Text != nil {
			r.text.WriteString(*choice.Text)
		}
	}
}

// maxViolations bounds the violations that a report lists.
const maxViolations = 100

func (r *Runner) addViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, values...))
	}
}

// startProgress calls OnProgress until the returned function is called.
func (r *Runner) startProgress(planned int) (stop func()) {
	if r.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.OnProgress(Progress{
					Elapsed:  time.Since(r.startTime),
					Started:  int(r.started.Load()),
					Planned:  planned,
					InFlight: int(r.inFlight.Load()),
				})
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}

func (r *Runner) buildReport(elapsed time.Duration) *Report {
	report := &Report{
		Seed:          r.plan.Seed,
		Seconds:       elapsed.Seconds(),
		MaxLatenessMS: float64(r.maxLateness.Load()) / float64(time.Millisecond),
		Violations:    r.violations,
	}
	for i, class := range r.plan.Classes {
		report.Classes = append(report.Classes, r.stats[i].report(class))
	}
	return report
}
