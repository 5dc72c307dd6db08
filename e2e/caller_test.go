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

// answered is what a caller gets.
type answered struct {
	status  int
	outcome string
	reason  string
	text    string
	whole   bool
}

// complete asks for a whole answer and checks that it is the prompt's own.
func (f *fleet) complete(entry int, prompt string, tokens int) (answered, error) {
	got, err := f.ask(entry, completionBody{Model: "dam-watch", Prompt: prompt, MaxTokens: tokens}, "")
	if err != nil {
		return got, err
	}
	if got.status != http.StatusOK {
		return got, fmt.Errorf("status %d, reason %s", got.status, got.reason)
	}
	if want := labengine.ResponseText(prompt, tokens); got.text != want {
		return got, fmt.Errorf("answer %q, not %q", got.text, want)
	}
	return got, nil
}

// ask sends a request with an optional idempotency key and reads the answer.
func (f *fleet) ask(entry int, body completionBody, key string) (answered, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return answered{}, err
	}
	request, err := http.NewRequest(http.MethodPost, f.entryURL(entry)+openai.PathCompletions, bytes.NewReader(data))
	if err != nil {
		return answered{}, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answered{}, err
	}
	defer func() { _ = response.Body.Close() }()
	got := answered{
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
	return readWhole(response.Body, got)
}

func readWhole(body io.Reader, got answered) (answered, error) {
	var chunk openai.Chunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		return got, err
	}
	got.whole = true
	got.text = textOf(chunk)
	return got, nil
}

func textOf(chunk openai.Chunk) string {
	var text strings.Builder
	for _, choice := range chunk.Choices {
		if choice.Text != nil {
			text.WriteString(*choice.Text)
		}
	}
	return text.String()
}

func readStream(response *http.Response, got answered) (answered, error) {
	scanner := bufio.NewScanner(response.Body)
	var text strings.Builder
	for scanner.Scan() {
		payload, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if payload == openai.Done {
			got.whole = true
			continue
		}
		var chunk openai.Chunk
		if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
			return got, err
		}
		text.WriteString(textOf(chunk))
	}
	got.text = text.String()
	got.outcome = response.Trailer.Get("Briarcross-Outcome")
	return got, scanner.Err()
}

// job is a batch job as a caller sees it.
type job struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// itemResult is the result of one item.
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

// jobLines returns a job in the OpenAI batch format.
func jobLines(model, name string, items, tokens int) []byte {
	var lines bytes.Buffer
	for i := range items {
		body, _ := json.Marshal(completionBody{Model: model, Prompt: itemPrompt(name, i), MaxTokens: tokens})
		_, _ = fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions","body":%s}`+"\n", name, i, body)
	}
	return lines.Bytes()
}

func (f *fleet) callJSON(method, url string, body []byte, into any) error {
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
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return json.Unmarshal(text, into)
}

// submit sends a job until it is acknowledged.
func (f *fleet) submit(entry int, lines []byte) job {
	f.t.Helper()
	var submitted job
	f.await("the job is acknowledged", func() bool {
		return f.callJSON(http.MethodPost, f.entryURL(entry)+"/v1/batches", lines, &submitted) == nil
	})
	return submitted
}

func (f *fleet) showJob(id string) (job, error) {
	var shown job
	err := f.callJSON(http.MethodGet, f.entryURL(0)+"/v1/batches/"+id, nil, &shown)
	return shown, err
}

func (f *fleet) awaitJob(id, status string) job {
	f.t.Helper()
	var shown job
	f.await("job "+id+" is "+status, func() bool {
		got, err := f.showJob(id)
		shown = got
		return err == nil && got.Status == status
	})
	return shown
}

func (f *fleet) results(id string) []itemResult {
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

// checkLedger checks that each item has one result, in order, with the answer
// to its own prompt.
func (f *fleet) checkLedger(id, name string, items, tokens int) {
	f.t.Helper()
	results := f.results(id)
	if len(results) != items {
		f.t.Fatalf("%d results of %d items", len(results), items)
	}
	for i, r := range results {
		if want := fmt.Sprintf("%s-%d", name, i); r.CustomID != want {
			f.t.Fatalf("result %d is of %s, not %s", i, r.CustomID, want)
		}
		if r.Error != nil || r.Response == nil {
			f.t.Fatalf("item %s failed: %+v", r.CustomID, r.Error)
		}
		if text := textOf(r.Response.Body); text != labengine.ResponseText(itemPrompt(name, i), tokens) {
			f.t.Fatalf("item %s has the answer %q", r.CustomID, text)
		}
	}
}
