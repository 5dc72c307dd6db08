package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/devd"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/openai"
)

const crestPrompt = "Summarise for the inspector: piezometer P4 rose 0.3 m overnight, seepage at the toe is clear, crest 4 is dry."

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (d *demo) completion(prompt string, tokens int) ([]byte, error) {
	return json.Marshal(completionBody{Model: devd.ModelServiceName, Prompt: prompt, MaxTokens: tokens, Stream: true})
}

func (d *demo) openStream(entry int, prompt string, tokens int) (*http.Response, error) {
	body, err := d.completion(prompt, tokens)
	if err != nil {
		return nil, err
	}
	response, err := http.Post(d.cluster.EntryURL(entry)+openai.PathCompletions, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return nil, eris.Errorf("status %d: %s", response.StatusCode, text)
	}
	return response, nil
}

// readAnswer reads a stream to its end, calls seen for each token's text, and
// checks that the answer is whole and that of the prompt.
func readAnswer(response *http.Response, prompt string, tokens int, seen func(string)) error {
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	done, err := readStream(response.Body, func(part string) {
		text.WriteString(part)
		seen(part)
	})
	if err != nil {
		return err
	}
	if !done {
		return eris.New("the stream ended without its end mark")
	}
	if want := labengine.Answer(prompt, tokens); text.String() != want {
		return eris.Errorf("the answer is not the one to this prompt: %q, not %q", text.String(), want)
	}
	return nil
}

// readStream reads server-sent events and reports whether the end mark came.
func readStream(body io.Reader, seen func(string)) (bool, error) {
	scanner := bufio.NewScanner(body)
	done := false
	for scanner.Scan() {
		payload, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if payload == openai.Done {
			done = true
			continue
		}
		var chunk openai.Chunk
		if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
			return false, eris.Wrapf(err, "event %s", payload)
		}
		for _, choice := range chunk.Choices {
			if choice.Text != nil && *choice.Text != "" {
				seen(*choice.Text)
			}
		}
	}
	return done, scanner.Err()
}

func (d *demo) online() error {
	response, err := d.openStream(0, crestPrompt, maxTokens)
	if err != nil {
		return err
	}
	d.printf("   %s\n   ", crestPrompt)
	count := 0
	err = readAnswer(response, crestPrompt, maxTokens, func(part string) {
		count++
		d.printf("%s|", part)
	})
	d.printf("\n   %d tokens, whole, outcome %s\n", count, response.Trailer.Get("Briarcross-Outcome"))
	return err
}

func (d *demo) plain() error {
	url := d.cluster.EntryURL(1) + "/services/" + devd.PlainServiceName + "/crest/4?year=2026"
	response, err := http.Post(url, "text/plain", strings.NewReader("inspected"))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(body) != "inspected" {
		return eris.Errorf("status %d, body %q", response.StatusCode, body)
	}
	d.printf("   POST /crest/4 relayed whole both ways, outcome %s\n", response.Header.Get("Briarcross-Outcome"))
	return nil
}

// plannedStop stops the sidecar whose engine streams an answer, and checks that
// the answer ends whole.
func (d *demo) plannedStop() error {
	prompt := "Describe every crest from the north gate to the spillway."
	response, err := d.openStream(0, prompt, longTokens)
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	started := false
	count := 0
	err = readAnswer(response, prompt, longTokens, func(string) {
		count++
		if !started {
			started = true
			go func() { stopped <- d.stopBusySidecar() }()
		}
	})
	if err != nil {
		return err
	}
	if err := <-stopped; err != nil {
		return err
	}
	d.printf("   the stream went on to its end: %d tokens, whole\n", count)
	return nil
}

func (d *demo) stopBusySidecar() error {
	for i, sidecar := range d.cluster.Sidecars {
		if sidecar.RequestCount() > 0 {
			err := d.cluster.StopSidecar(i)
			d.printf("   sidecar %d stopped after its stream had ended\n", i+1)
			return err
		}
	}
	return eris.New("no sidecar holds the stream")
}
