package devd

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	labengine "github.com/briarcross/briarcross/lab/engine"
)

// A stream breaks off, and the engine that should go on answers with an error. Callers got
// the error's text as an event of their stream, and then the mark of a complete one.
func TestErrorOfTheNextEngineDoesNotEnterTheStream(t *testing.T) {
	g := NewWithT(t)
	t.Cleanup(func() {
		for _, e := range sharedCluster.Engines {
			e.SetFaults(labengine.Faults{})
		}
	})
	body := `{"model":"dam-watch","prompt":"crest","max_tokens":400,"stream":true}`
	response, err := http.Post(sharedCluster.EntryURL(0)+"/v1/completions", "application/json", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	id := response.Header.Get("Briarcross-Request-Id")
	var lines []string
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
		if len(lines) == 6 {
			failOver(id)
		}
	}
	stream := strings.Join(lines, "\n")
	g.Expect(stream).To(ContainSubstring("event: error"), "the stream must end as cut off")
	g.Expect(stream).NotTo(ContainSubstring("[DONE]"))
	for i, line := range lines {
		payload, isData := strings.CutPrefix(line, "data: ")
		if isData && i > 0 && lines[i-1] != "event: error" {
			g.Expect(payload).To(ContainSubstring(`"choices"`), "event in the middle of the stream")
		}
	}
}

// failOver breaks the stream of a request off and lets every other engine answer with an
// error.
func failOver(id string) {
	for _, e := range sharedCluster.Engines {
		running := false
		for _, entry := range e.Ledger() {
			running = running || entry.ID == id && entry.Finished == 0
		}
		if running {
			e.SetFaults(labengine.Faults{Down: true})
		} else {
			e.SetFaults(labengine.Faults{FailProbability: 1})
		}
	}
}
