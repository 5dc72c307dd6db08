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

// Headers of an entry.
const (
	headerCaller     = "Briarcross-Caller"
	headerIdempotent = "Briarcross-Idempotent"
	headerReason     = "Briarcross-Reason"
	headerRequestID  = "Briarcross-Request-Id"
)

// Progress is a snapshot of a running plan.
type Progress struct {
	Elapsed  time.Duration
	Started  int
	Planned  int
	InFlight int
}

// Runner carries out a plan.
type Runner struct {
	plan     *Plan
	clients  []engine.Client
	stats    []*ClassStats
	inFlight atomic.Int64
	started  atomic.Int64
	lateness atomic.Int64
	begin    time.Time
	pending  sync.WaitGroup
	mu       sync.Mutex
	// once holds the IDs of the requests that may run once only.
	once       []string
	violations []string
	// OnProgress is called about once a second when it is set.
	OnProgress func(Progress)
}

// NewRunner returns a runner for a checked plan.
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

// Run carries out the plan, waits for every answer and reports. Cancelling the
// context ends the run early with an error.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	arrivals := r.plan.Arrivals()
	for _, arrival := range arrivals {
		r.stats[arrival.Class].count(func(c *Counts) { c.Planned++ })
	}
	r.begin = time.Now()
	stop := r.watch(len(arrivals))
	err := r.dispatch(ctx, arrivals)
	r.pending.Wait()
	elapsed := time.Since(r.begin)
	stop()
	for _, client := range r.clients {
		client.Close()
	}
	if err != nil {
		return nil, err
	}
	r.checkLedgers(ctx)
	return r.report(elapsed), nil
}

// dispatch starts each arrival at its time, whatever became of earlier ones.
func (r *Runner) dispatch(ctx context.Context, arrivals []Arrival) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, arrival := range arrivals {
		timer.Reset(time.Until(r.begin.Add(arrival.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "load: run ended early")
		}
		r.start(ctx, arrival)
	}
	return nil
}

func (r *Runner) start(ctx context.Context, arrival Arrival) {
	late := int64(time.Since(r.begin.Add(arrival.At)))
	if late > r.lateness.Load() {
		r.lateness.Store(late)
	}
	r.started.Add(1)
	class := &r.plan.Classes[arrival.Class]
	if class.Kind == Online && r.inFlight.Load() >= int64(r.plan.MaxInFlight) {
		r.stats[arrival.Class].count(func(c *Counts) { c.Skipped++ })
		return
	}
	r.inFlight.Add(1)
	r.pending.Go(func() {
		defer r.inFlight.Add(-1)
		ctx, cancel := context.WithDeadline(ctx, r.begin.Add(arrival.At).Add(class.Timeout))
		defer cancel()
		if class.Kind == Batch {
			r.runJob(ctx, arrival)
			return
		}
		r.stats[arrival.Class].add(r.request(ctx, arrival))
	})
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// request sends one online request and judges its answer.
func (r *Runner) request(ctx context.Context, arrival Arrival) observation {
	class := &r.plan.Classes[arrival.Class]
	planned := r.begin.Add(arrival.At)
	reading := answerReader{planned: planned}
	client := r.clients[arrival.Number%len(r.clients)]
	result := client.Run(ctx, class.request(arrival), reading.take)
	if class.NonIdempotent && reading.requestID != "" {
		r.mu.Lock()
		r.once = append(r.once, reading.requestID)
		r.mu.Unlock()
	}
	seen := observation{
		tokens:   result.Tokens,
		first:    reading.first.Sub(planned),
		betweens: reading.betweens,
		whole:    time.Since(planned),
		reason:   reading.reason,
	}
	switch {
	case result.Status >= 400:
		seen.outcome = outcomeRefused
		seen.reason = strconv.Itoa(result.Status) + " " + reading.reason
	case !result.Complete:
		seen.outcome = outcomeFailed
		seen.reason = failureText(result.Err)
	case reading.text.String() != labengine.Answer(arrival.Prompt, class.MaxTokens):
		seen.outcome = outcomeWrong
		r.violate("the answer to arrival %d of class %s is not its own", arrival.Number, class.Name)
	default:
		seen.outcome = outcomeDone
	}
	return seen
}

// maxReasonBytes bounds the text of a reason.
const maxReasonBytes = 100

func failureText(err error) string {
	if err == nil {
		return "no answer"
	}
	text := err.Error()
	return text[:min(len(text), maxReasonBytes)]
}

func (c *Class) request(arrival Arrival) engine.Request {
	body, err := json.Marshal(completionBody{
		Model:     c.Service,
		Prompt:    arrival.Prompt,
		MaxTokens: c.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		panic(err) // A struct of strings and integers always marshals.
	}
	return engine.Request{
		ID:      "load-" + strconv.Itoa(arrival.Number),
		Method:  "POST",
		Path:    openai.PathCompletions,
		Headers: c.headers(),
		Body:    body,
	}
}

func (c *Class) headers() []*pb.HeaderField {
	headers := []*pb.HeaderField{{Name: "Content-Type", Value: "application/json"}}
	if c.Caller != "" {
		headers = append(headers, &pb.HeaderField{Name: headerCaller, Value: c.Caller})
	}
	if c.NonIdempotent {
		headers = append(headers, &pb.HeaderField{Name: headerIdempotent, Value: "false"})
	}
	return headers
}

// answerReader takes the parts of one answer.
type answerReader struct {
	planned   time.Time
	first     time.Time
	last      time.Time
	betweens  []time.Duration
	text      strings.Builder
	reason    string
	requestID string
}

func (a *answerReader) take(part engine.ResponsePart) error {
	switch part := part.(type) {
	case engine.ResponseHead:
		a.takeHead(part)
	case engine.ResponseData:
		if part.Tokens > 0 {
			a.takeToken(part)
		}
	}
	return nil
}

func (a *answerReader) takeHead(head engine.ResponseHead) {
	for _, field := range head.Headers {
		switch field.GetName() {
		case headerReason:
			a.reason = field.GetValue()
		case headerRequestID:
			a.requestID = field.GetValue()
		}
	}
}

func (a *answerReader) takeToken(data engine.ResponseData) {
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	} else {
		a.betweens = append(a.betweens, now.Sub(a.last))
	}
	a.last = now
	var chunk openai.Chunk
	if json.Unmarshal(data.Payload, &chunk) != nil {
		return
	}
	for _, choice := range chunk.Choices {
		if choice.Text != nil {
			a.text.WriteString(*choice.Text)
		}
	}
}

// maxViolations bounds the violations that a report lists.
const maxViolations = 100

func (r *Runner) violate(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, values...))
	}
}

// watch reports progress until the returned function is called.
func (r *Runner) watch(planned int) (stop func()) {
	if r.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.OnProgress(Progress{
					Elapsed:  time.Since(r.begin),
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
		ended.Wait()
	}
}

func (r *Runner) report(elapsed time.Duration) *Report {
	report := &Report{
		Seed:          r.plan.Seed,
		Seconds:       elapsed.Seconds(),
		MaxLatenessMS: float64(r.lateness.Load()) / float64(time.Millisecond),
		Violations:    r.violations,
	}
	for i, class := range r.plan.Classes {
		report.Classes = append(report.Classes, r.stats[i].report(class))
	}
	return report
}
