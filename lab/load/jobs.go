package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/openai"
	"github.com/briarcross/briarcross/pb"
)

const (
	pathBatches = "/v1/batches"
	// pollInterval is the time between two looks at a job.
	pollInterval = 250 * time.Millisecond
	// resendInterval is the time until a submission without an answer is
	// sent again.
	resendInterval = 500 * time.Millisecond
)

type jobLine struct {
	CustomID string         `json:"custom_id"`
	Method   string         `json:"method"`
	URL      string         `json:"url"`
	Body     completionBody `json:"body"`
}

type jobObject struct {
	ID     string `json:"id"`
	Status string `json:"status"`
}

type jobResultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Body openai.Chunk `json:"body"`
	} `json:"response"`
}

func itemPrompt(arrival Arrival, item int) string {
	return fmt.Sprintf("%s item %d", arrival.Prompt, item)
}

// runJob submits a job, waits for its end and checks each result.
func (r *Runner) runJob(ctx context.Context, arrival Arrival) {
	class := &r.plan.Classes[arrival.Class]
	stats := r.stats[arrival.Class]
	planned := r.begin.Add(arrival.At)
	job, err := r.submitJob(ctx, arrival)
	if err == nil {
		err = r.awaitJob(ctx, job.ID)
	}
	if err != nil {
		stats.add(observation{outcome: outcomeFailed, reason: failureText(err)})
		return
	}
	body, err := r.fetch(ctx, "GET", pathBatches+"/"+job.ID+"/results", class, nil)
	if err != nil {
		stats.add(observation{outcome: outcomeFailed, reason: failureText(err)})
		return
	}
	if err := checkResults(class, arrival, body); err != nil {
		r.violate("job %s of class %s: %v", job.ID, class.Name, err)
		stats.add(observation{outcome: outcomeWrong})
		return
	}
	stats.add(observation{outcome: outcomeDone, whole: time.Since(planned)})
	stats.count(func(c *Counts) { c.Tokens += class.Items * class.MaxTokens })
}

// submitJob sends a job until it is acknowledged; the system must find the
// same job again when an answer was lost.
func (r *Runner) submitJob(ctx context.Context, arrival Arrival) (jobObject, error) {
	class := &r.plan.Classes[arrival.Class]
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for i := range class.Items {
		line := jobLine{CustomID: fmt.Sprintf("item-%d", i), Method: "POST", URL: openai.PathCompletions}
		line.Body = completionBody{Model: class.Service, Prompt: itemPrompt(arrival, i), MaxTokens: class.MaxTokens}
		if err := encoder.Encode(line); err != nil {
			return jobObject{}, eris.Wrap(err, "load: encode item")
		}
	}
	for {
		var job jobObject
		body, err := r.fetch(ctx, "POST", pathBatches, class, lines.Bytes())
		if err == nil {
			return job, eris.Wrap(json.Unmarshal(body, &job), "load: job")
		}
		if waitErr := wait(ctx, resendInterval); waitErr != nil {
			return job, err
		}
	}
}

func (r *Runner) awaitJob(ctx context.Context, id string) error {
	for {
		var job jobObject
		body, err := r.fetch(ctx, "GET", pathBatches+"/"+id, nil, nil)
		if err == nil {
			err = json.Unmarshal(body, &job)
		}
		switch {
		case err == nil && job.Status == "completed":
			return nil
		case err == nil && (job.Status == "cancelled" || job.Status == "expired" || job.Status == "failed"):
			return eris.Errorf("load: job ended as %s", job.Status)
		}
		if waitErr := wait(ctx, pollInterval); waitErr != nil {
			return eris.Wrap(waitErr, "load: job has not ended")
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fetch makes one plain call to a target.
func (r *Runner) fetch(ctx context.Context, method, path string, class *Class, body []byte) ([]byte, error) {
	number := int(r.started.Load()) % len(r.plan.Targets)
	client := engine.NewPlainClient(r.plan.Targets[number], engine.Options{})
	defer client.Close()
	request := engine.Request{Method: method, Path: path, Body: body}
	request.Headers = []*pb.HeaderField{{Name: "Content-Type", Value: "application/jsonl"}}
	if class != nil && class.Caller != "" {
		request.Headers = append(request.Headers, &pb.HeaderField{Name: headerCaller, Value: class.Caller})
	}
	var answer bytes.Buffer
	result := client.Run(ctx, request, func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok {
			answer.Write(data.Payload)
		}
		return nil
	})
	if result.Err != nil {
		return nil, result.Err
	}
	if result.Status >= 400 {
		return nil, eris.Errorf("load: %s %s: status %d: %s", method, path, result.Status, answer.String())
	}
	return answer.Bytes(), nil
}

// checkResults compares the results of a job with what its items must give.
func checkResults(class *Class, arrival Arrival, body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	seen := make(map[string]bool, class.Items)
	for {
		var line jobResultLine
		err := decoder.Decode(&line)
		if err == io.EOF {
			break
		}
		if err != nil {
			return eris.Wrap(err, "results")
		}
		if seen[line.CustomID] {
			return eris.Errorf("two results for %s", line.CustomID)
		}
		seen[line.CustomID] = true
		if err := checkResult(class, arrival, line); err != nil {
			return err
		}
	}
	if len(seen) != class.Items {
		return eris.Errorf("%d results for %d items", len(seen), class.Items)
	}
	return nil
}

func checkResult(class *Class, arrival Arrival, line jobResultLine) error {
	var item int
	if _, err := fmt.Sscanf(line.CustomID, "item-%d", &item); err != nil {
		return eris.Wrapf(err, "custom ID %q", line.CustomID)
	}
	if line.Response == nil || len(line.Response.Body.Choices) != 1 || line.Response.Body.Choices[0].Text == nil {
		return eris.Errorf("item %d has no answer", item)
	}
	want := labengine.Answer(itemPrompt(arrival, item), class.MaxTokens)
	if *line.Response.Body.Choices[0].Text != want {
		return eris.Errorf("item %d has another item's answer", item)
	}
	return nil
}
