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
	// pollInterval is the time between two status queries for a job.
	pollInterval = 250 * time.Millisecond
	// resendInterval is the time before a failed submission is sent again.
	resendInterval = 500 * time.Millisecond
)

type jobInputLine struct {
	CustomID string         `json:"custom_id"`
	Method   string         `json:"method"`
	URL      string         `json:"url"`
	Body     completionBody `json:"body"`
}

type jobStatus struct {
	ID     string `json:"id"`
	Status string `json:"status"`
}

type jobResultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Body openai.Chunk `json:"body"`
	} `json:"response"`
}

func itemPrompt(arrival Arrival, itemIndex int) string {
	return fmt.Sprintf("%s item %d", arrival.Prompt, itemIndex)
}

// runJob submits a job, waits until it completes and checks each result.
func (r *Runner) runJob(ctx context.Context, arrival Arrival) {
	class := &r.plan.Classes[arrival.ClassIndex]
	stats := r.stats[arrival.ClassIndex]
	plannedTime := r.startTime.Add(arrival.Offset)
	job, err := r.submitJob(ctx, arrival)
	if err == nil {
		err = r.waitForJob(ctx, job.ID)
	}
	if err != nil {
		stats.addObservation(observation{outcome: outcomeFailed, reason: failureReason(err)})
		return
	}
	body, err := r.call(ctx, "GET", pathBatches+"/"+job.ID+"/results", class, nil)
	if err != nil {
		stats.addObservation(observation{outcome: outcomeFailed, reason: failureReason(err)})
		return
	}
	if err := checkResults(class, arrival, body); err != nil {
		r.addViolation("job %s of class %s: %v", job.ID, class.Name, err)
		stats.addObservation(observation{outcome: outcomeWrong})
		return
	}
	stats.addObservation(observation{outcome: outcomeDone, responseTime: time.Since(plannedTime)})
	stats.updateCounts(func(c *Counts) { c.Tokens += class.Items * class.MaxTokens })
}

// submitJob submits a job until the submission is acknowledged. If a response
// was lost, the system must recognise the resent job as the same one.
func (r *Runner) submitJob(ctx context.Context, arrival Arrival) (jobStatus, error) {
	class := &r.plan.Classes[arrival.ClassIndex]
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for i := range class.Items {
		line := jobInputLine{CustomID: fmt.Sprintf("item-%d", i), Method: "POST", URL: openai.PathCompletions}
		line.Body = completionBody{Model: class.Service, Prompt: itemPrompt(arrival, i), MaxTokens: class.MaxTokens}
		if err := encoder.Encode(line); err != nil {
			return jobStatus{}, eris.Wrap(err, "load: encode item")
		}
	}
	for {
		var job jobStatus
		body, err := r.call(ctx, "POST", pathBatches, class, lines.Bytes())
		if err == nil {
			return job, eris.Wrap(json.Unmarshal(body, &job), "load: job")
		}
		if sleepErr := sleep(ctx, resendInterval); sleepErr != nil {
			return job, err
		}
	}
}

func (r *Runner) waitForJob(ctx context.Context, id string) error {
	for {
		var job jobStatus
		body, err := r.call(ctx, "GET", pathBatches+"/"+id, nil, nil)
		if err == nil {
			err = json.Unmarshal(body, &job)
		}
		switch {
		case err == nil && job.Status == "completed":
			return nil
		case err == nil && (job.Status == "cancelled" || job.Status == "expired" || job.Status == "failed"):
			return eris.Errorf("load: job ended as %s", job.Status)
		}
		if sleepErr := sleep(ctx, pollInterval); sleepErr != nil {
			return eris.Wrap(sleepErr, "load: job has not ended")
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call sends one HTTP request to a target and returns the response body. Status
// 400 and above is an error.
func (r *Runner) call(ctx context.Context, method, path string, class *Class, body []byte) ([]byte, error) {
	targetIndex := int(r.started.Load()) % len(r.plan.Targets)
	client := engine.NewPlainClient(r.plan.Targets[targetIndex], engine.Options{})
	defer client.Close()
	request := engine.Request{Method: method, Path: path, Body: body}
	request.Headers = []*pb.HeaderField{{Name: "Content-Type", Value: "application/jsonl"}}
	if class != nil && class.Caller != "" {
		request.Headers = append(request.Headers, &pb.HeaderField{Name: headerCaller, Value: class.Caller})
	}
	var responseBody bytes.Buffer
	result := client.Run(ctx, request, func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok {
			responseBody.Write(data.Payload)
		}
		return nil
	})
	if result.Err != nil {
		return nil, result.Err
	}
	if result.Status >= 400 {
		return nil, eris.Errorf("load: %s %s: status %d: %s", method, path, result.Status, responseBody.String())
	}
	return responseBody.Bytes(), nil
}

// checkResults checks that each item of a job has one result with the expected
// text.
func checkResults(class *Class, arrival Arrival, body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	seenIDs := make(map[string]bool, class.Items)
	for {
		var line jobResultLine
		err := decoder.Decode(&line)
		if err == io.EOF {
			break
		}
		if err != nil {
			return eris.Wrap(err, "results")
		}
		if seenIDs[line.CustomID] {
			return eris.Errorf("two results for %s", line.CustomID)
		}
		seenIDs[line.CustomID] = true
		if err := checkResult(class, arrival, line); err != nil {
			return err
		}
	}
	if len(seenIDs) != class.Items {
		return eris.Errorf("%d results for %d items", len(seenIDs), class.Items)
	}
	return nil
}

func checkResult(class *Class, arrival Arrival, line jobResultLine) error {
	var itemIndex int
	if _, err := fmt.Sscanf(line.CustomID, "item-%d", &itemIndex); err != nil {
		return eris.Wrapf(err, "custom ID %q", line.CustomID)
	}
	if line.Response == nil || len(line.Response.Body.Choices) != 1 || line.Response.Body.Choices[0].Text == nil {
		return eris.Errorf("item %d has no answer", itemIndex)
	}
	wantText := labengine.ResponseText(itemPrompt(arrival, itemIndex), class.MaxTokens)
	if *line.Response.Body.Choices[0].Text != wantText {
		return eris.Errorf("item %d has another item's answer", itemIndex)
	}
	return nil
}
