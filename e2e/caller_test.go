package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/openai"
)

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// completionResponse is the response to a completion request.
type completionResponse struct {
	status   int
	outcome  string
	reason   string
	text     string
	complete bool
}

// completeAndCheck sends a completion request without streaming and checks that
// the text is the expected one for the prompt.
func (f *fleet) completeAndCheck(entry int, prompt string, tokens int) (completionResponse, error) {
	got, err := f.sendCompletion(entry, completionBody{Model: "dam-watch", Prompt: prompt, MaxTokens: tokens}, "")
	if err != nil {
		return got, err
	}
	if got.status != http.StatusOK {
		return got, fmt.Errorf("completion: status %d, reason %s", got.status, got.reason)
	}
	if want := labengine.ResponseText(prompt, tokens); got.text != want {
		return got, fmt.Errorf("completion: text is %q, want %q", got.text, want)
	}
	return got, nil
}

// sendCompletion sends a completion request, with an idempotency key unless key
// is empty, and reads the response.
func (f *fleet) sendCompletion(entry int, body completionBody, key string) (completionResponse, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return completionResponse{}, err
	}
	request, err := http.NewRequest(http.MethodPost, f.entryURL(entry)+openai.PathCompletions, bytes.NewReader(data))
	if err != nil {
		return completionResponse{}, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return completionResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	got := completionResponse{
		status:  response.StatusCode,
		outcome: response.Header.Get("Briarcross-Outcome"),
		reason:  response.Header.Get("Briarcross-Reason"),
	}
	if response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, response.Body)
		return got, err
	}
	if body.Stream {
		return readStream(response, got)
	}
	return readCompletion(response.Body, got)
}

func readCompletion(body io.Reader, got completionResponse) (completionResponse, error) {
	var chunk openai.Chunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		return got, err
	}
	got.complete = true
	got.text = chunkText(chunk)
	return got, nil
}

func chunkText(chunk openai.Chunk) string {
	var text strings.Builder
	for _, choice := range chunk.Choices {
		if choice.Text != nil {
			text.WriteString(*choice.Text)
		}
	}
	return text.String()
}

func readStream(response *http.Response, got completionResponse) (completionResponse, error) {
	scanner := bufio.NewScanner(response.Body)
	var text strings.Builder
	for scanner.Scan() {
		payload, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if payload == openai.Done {
			got.complete = true
			continue
		}
		var chunk openai.Chunk
		if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
			return got, err
		}
		text.WriteString(chunkText(chunk))
	}
	got.text = text.String()
	got.outcome = response.Trailer.Get("Briarcross-Outcome")
	return got, scanner.Err()
}

// job is the state of a batch job in the response to a caller.
type job struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// itemResult is the result of an item of a batch job.
type itemResult struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int          `json:"status_code"`
		Body       openai.Chunk `json:"body"`
	} `json:"response"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func itemPrompt(name string, i int) string {
	return fmt.Sprintf("%s record %d", name, i)
}

// jobLines returns the input of a batch job in the OpenAI batch format.
func jobLines(model, name string, items, tokens int) []byte {
	var lines bytes.Buffer
	for i := range items {
		body, _ := json.Marshal(completionBody{Model: model, Prompt: itemPrompt(name, i), MaxTokens: tokens})
		_, _ = fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions","body":%s}`+"\n", name, i, body)
	}
	return lines.Bytes()
}

func (f *fleet) callJSON(method, url string, body []byte, result any) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/jsonl")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %d: %s", response.StatusCode, text)
	}
	return json.Unmarshal(text, result)
}

// submitJob sends a job repeatedly until it is acknowledged.
func (f *fleet) submitJob(entry int, lines []byte) job {
	f.t.Helper()
	var submitted job
	f.await("the job is acknowledged", func() bool {
		return f.callJSON(http.MethodPost, f.entryURL(entry)+"/v1/batches", lines, &submitted) == nil
	})
	return submitted
}

func (f *fleet) readJob(id string) (job, error) {
	var shown job
	err := f.callJSON(http.MethodGet, f.entryURL(0)+"/v1/batches/"+id, nil, &shown)
	return shown, err
}

func (f *fleet) awaitJob(id, status string) job {
	f.t.Helper()
	var shown job
	f.await("job "+id+" is "+status, func() bool {
		got, err := f.readJob(id)
		shown = got
		return err == nil && got.Status == status
	})
	return shown
}

func (f *fleet) readResults(id string) []itemResult {
	f.t.Helper()
	response, err := http.Get(f.entryURL(1) + "/v1/batches/" + id + "/results")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	var results []itemResult
	for decoder.More() {
		var r itemResult
		if err := decoder.Decode(&r); err != nil {
			f.t.Fatal(err)
		}
		results = append(results, r)
	}
	return results
}

// checkResults checks that each item has one result, in order, with the expected
// text for its prompt.
func (f *fleet) checkResults(id, name string, items, tokens int) {
	f.t.Helper()
	results := f.readResults(id)
	if len(results) != items {
		f.t.Fatalf("the job has %d results, want %d", len(results), items)
	}
	for i, r := range results {
		if want := fmt.Sprintf("%s-%d", name, i); r.CustomID != want {
			f.t.Fatalf("result %d is of item %s, want %s", i, r.CustomID, want)
		}
		if r.Error != nil || r.Response == nil {
			f.t.Fatalf("item %s failed: %+v", r.CustomID, r.Error)
		}
		if text := chunkText(r.Response.Body); text != labengine.ResponseText(itemPrompt(name, i), tokens) {
			f.t.Fatalf("item %s has the wrong text %q", r.CustomID, text)
		}
	}
}
