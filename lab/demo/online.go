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

const inspectionPrompt = "Summarise for the inspector: piezometer P4 rose 0.3 m overnight, seepage at the toe is clear, crest 4 is dry."

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (d *demo) completionRequestBody(prompt string, tokens int) ([]byte, error) {
	return json.Marshal(completionBody{Model: devd.ModelServiceName, Prompt: prompt, MaxTokens: tokens, Stream: true})
}

func (d *demo) openStream(entry int, prompt string, tokens int) (*http.Response, error) {
	body, err := d.completionRequestBody(prompt, tokens)
	if err != nil {
		return nil, err
	}
	response, err := http.Post(d.cluster.EntryURL(entry)+openai.PathCompletions, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return nil, eris.Errorf("open completion stream: status %d: %s", response.StatusCode, text)
	}
	return response, nil
}

// readResponse reads a stream to its end, calls onToken with the text of each
// token, and checks that the response is complete and belongs to the prompt.
func readResponse(response *http.Response, prompt string, tokens int, onToken func(string)) error {
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	done, err := readStream(response.Body, func(part string) {
		text.WriteString(part)
		onToken(part)
	})
	if err != nil {
		return err
	}
	if !done {
		return eris.New("response stream ended without the [DONE] event")
	}
	if want := labengine.ResponseText(prompt, tokens); text.String() != want {
		return eris.Errorf("response does not belong to the prompt: got %q, want %q", text.String(), want)
	}
	return nil
}

// readStream reads server-sent events, calls onToken with the text of each
// token, and reports whether the [DONE] event was received.
func readStream(body io.Reader, onToken func(string)) (bool, error) {
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
			return false, eris.Wrapf(err, "decode event %s", payload)
		}
		for _, choice := range chunk.Choices {
			if choice.Text != nil && *choice.Text != "" {
				onToken(*choice.Text)
			}
		}
	}
	return done, scanner.Err()
}

func (d *demo) showOnline() error {
	response, err := d.openStream(0, inspectionPrompt, shortResponseTokens)
	if err != nil {
		return err
	}
	d.printf("   %s\n   ", inspectionPrompt)
	tokens := 0
	err = readResponse(response, inspectionPrompt, shortResponseTokens, func(part string) {
		tokens++
		d.printf("%s|", part)
	})
	d.printf("\n   %d tokens, complete, outcome %s\n", tokens, response.Trailer.Get("Briarcross-Outcome"))
	return err
}

func (d *demo) showPlainService() error {
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
		return eris.Errorf("call plain service: status %d, body %q", response.StatusCode, body)
	}
	d.printf("   POST /crest/4: request and response relayed unchanged, outcome %s\n", response.Header.Get("Briarcross-Outcome"))
	return nil
}

// showPlannedStop stops the sidecar whose engine streams a response, and checks
// that the response is complete.
func (d *demo) showPlannedStop() error {
	prompt := "Describe every crest from the north gate to the spillway."
	response, err := d.openStream(0, prompt, longResponseTokens)
	if err != nil {
		return err
	}
	stopResult := make(chan error, 1)
	stopStarted := false
	tokens := 0
	err = readResponse(response, prompt, longResponseTokens, func(string) {
		tokens++
		if !stopStarted {
			stopStarted = true
			go func() { stopResult <- d.stopBusySidecar() }()
		}
	})
	if err != nil {
		return err
	}
	if err := <-stopResult; err != nil {
		return err
	}
	d.printf("   the stream continued to its end: %d tokens, complete\n", tokens)
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
	return eris.New("no sidecar holds the request of the stream")
}
