package devd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	labengine "github.com/briarcross/briarcross/lab/engine"
)

// sharedCluster is the installation that all tests of this package use.
var sharedCluster *Cluster

// testBasePort lies below the ephemeral ports of the kernel: an outgoing
// connection could take such a port between the check and its use.
const testBasePort = 26000

func TestMain(m *testing.M) {
	settings := &Settings{Entries: 2, Sidecars: 2, LogLevel: "error", Seed: 1}
	settings.BasePort = FreeBasePortFrom(testBasePort, settings.PortCount())
	cluster, err := Start(settings)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	sharedCluster = cluster
	code := m.Run()
	if err := cluster.Stop(); err != nil {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

const pollTimeout = time.Minute

func eventually(g Gomega, condition func() bool) {
	g.Eventually(condition, pollTimeout, 20*time.Millisecond).Should(BeTrue())
}

// request sends a request and returns the response with its whole body.
func request(g Gomega, method, url, contentType string, body []byte, headers ...string) (*http.Response, string) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Content-Type", contentType)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response, string(text)
}

func jobLines(name string, count int) []byte {
	var lines bytes.Buffer
	for i := range count {
		_, _ = fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions","body":{"model":"dam-watch","prompt":"%s %d","max_tokens":3}}`+"\n", name, i, name, i)
	}
	return lines.Bytes()
}

func TestStartingUploadedFileTwiceReturnsSameJob(t *testing.T) {
	g := NewWithT(t)
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	g.Expect(writer.WriteField("purpose", "batch")).To(Succeed())
	part, err := writer.CreateFormFile("file", "records.jsonl")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = part.Write(jobLines("upload", 5))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writer.Close()).To(Succeed())
	response, text := request(g, http.MethodPost, sharedCluster.EntryURL(0)+"/v1/files", writer.FormDataContentType(), form.Bytes())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), text)
	var file struct {
		ID    string `json:"id"`
		Lines int    `json:"lines"`
	}
	g.Expect(json.Unmarshal([]byte(text), &file)).To(Succeed())
	g.Expect(file.Lines).To(Equal(5))

	startRequest := fmt.Appendf(nil, `{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"24h"}`, file.ID)
	var job struct {
		ID     string `json:"id"`
		Status string `json:"status"`
		Output string `json:"output_file_id"`
	}
	var firstJobID string
	for entry := range 2 {
		response, text = request(g, http.MethodPost, sharedCluster.EntryURL(entry)+"/v1/batches", "application/json", startRequest)
		g.Expect(response.StatusCode).To(Equal(http.StatusOK), text)
		g.Expect(json.Unmarshal([]byte(text), &job)).To(Succeed())
		if firstJobID == "" {
			firstJobID = job.ID
		}
		g.Expect(job.ID).To(Equal(firstJobID))
	}
	eventually(g, func() bool {
		_, text := request(g, http.MethodGet, sharedCluster.EntryURL(1)+"/v1/batches/"+job.ID, "", nil)
		g.Expect(json.Unmarshal([]byte(text), &job)).To(Succeed())
		return job.Status == "completed"
	})
	_, text = request(g, http.MethodGet, sharedCluster.EntryURL(0)+"/v1/files/"+job.Output+"/content", "", nil)
	g.Expect(strings.Count(text, "\n")).To(Equal(5))

	response, _ = request(g, http.MethodPost, sharedCluster.EntryURL(0)+"/v1/batches", "application/json", startRequest, "Briarcross-Caller", "another")
	g.Expect(response.StatusCode).NotTo(Equal(http.StatusOK))
}

func TestInvalidLineRejectsWholeJob(t *testing.T) {
	g := NewWithT(t)
	lines := append(jobLines("bad", 3), []byte("{\"custom_id\": 7\n")...)
	response, text := request(g, http.MethodPost, sharedCluster.EntryURL(0)+"/v1/batches", "application/jsonl", lines)
	g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	g.Expect(text).To(ContainSubstring("line 4"))
	g.Expect(response.Header.Get("Briarcross-Outcome")).To(Equal("not-run"))
}

func TestPlainRequestAndResponseAreRelayedUnchanged(t *testing.T) {
	g := NewWithT(t)
	body := bytes.Repeat([]byte{0, 1, 2, 255}, 50_000)
	url := sharedCluster.EntryURL(0) + "/services/" + PlainServiceName + "/crest/4%2F5?year=2026&x=a%20b"
	before := len(sharedCluster.Service.Calls())
	response, text := request(g, http.MethodPut, url, "application/octet-stream", body, "X-Inspector", "north")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect([]byte(text)).To(Equal(body))
	calls := sharedCluster.Service.Calls()
	g.Expect(calls).To(HaveLen(before + 1))
	call := calls[before]
	g.Expect(call.Method).To(Equal(http.MethodPut))
	g.Expect(call.Query).To(Equal("year=2026&x=a%20b"))
	g.Expect(call.Body).To(Equal(body))
	found := false
	for _, header := range call.Headers {
		found = found || header.GetName() == "X-Inspector" && header.GetValue() == "north"
	}
	g.Expect(found).To(BeTrue())
}

func TestPlainRequestWithIdempotencyKeyRunsOnce(t *testing.T) {
	g := NewWithT(t)
	before := len(sharedCluster.Service.Calls())
	for entry := range 2 {
		response, text := request(g, http.MethodPost, sharedCluster.EntryURL(entry)+"/services/"+PlainServiceName+"/crew",
			"text/plain", []byte("go"), "Idempotency-Key", "crew-1", "Briarcross-Idempotent", "false")
		g.Expect(response.StatusCode).To(Equal(http.StatusOK), text)
		g.Expect(text).To(Equal("go"))
	}
	g.Expect(sharedCluster.Service.Calls()).To(HaveLen(before + 1))
}

// When a caller disconnects before its first token, the engine must stop its
// request.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(sharedCluster.EntryURL(0), "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	body := `{"model":"dam-watch","prompt":"a caller that goes away","max_tokens":2000}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	g.Expect(err).NotTo(HaveOccurred())
	eventually(g, func() bool { return cancelledRequests()+heldRequests() > 0 })
	before := cancelledRequests()
	g.Expect(conn.Close()).To(Succeed())
	eventually(g, func() bool { return cancelledRequests() > before && heldRequests() == 0 })
}

func heldRequests() int {
	count := 0
	for _, sidecar := range sharedCluster.Sidecars {
		count += sidecar.RequestCount()
	}
	return count
}

func cancelledRequests() int {
	count := 0
	for _, engine := range sharedCluster.Engines {
		for _, entry := range engine.Ledger() {
			count += entry.Cancelled
		}
	}
	return count
}

func TestRefusalsReportOutcome(t *testing.T) {
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"no model", "/v1/completions", `{"prompt":"x"}`, http.StatusBadRequest},
		{"not JSON", "/v1/completions", `prompt`, http.StatusBadRequest},
		{"unknown service", "/v1/completions", `{"model":"other","prompt":"x"}`, http.StatusNotFound},
		{"unknown plain service", "/services/other/x", ``, http.StatusNotFound},
		{"unknown path", "/v2/x", ``, http.StatusNotFound},
		{"unknown job", "/v1/batches/batch-none/cancel", ``, http.StatusNotFound},
		{"invalid max_tokens", "/v1/completions", `{"model":"dam-watch","prompt":"x","max_tokens":-1}`, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			response, text := request(g, http.MethodPost, sharedCluster.EntryURL(0)+test.path, "application/json", []byte(test.body))
			g.Expect(response.StatusCode).To(Equal(test.status), text)
			g.Expect(response.Header.Get("Briarcross-Outcome")).NotTo(BeEmpty())
			g.Expect(json.Valid([]byte(text))).To(BeTrue(), text)
		})
	}
}

func TestChatResponseIsComplete(t *testing.T) {
	g := NewWithT(t)
	body := []byte(`{"model":"dam-watch","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`)
	response, text := request(g, http.MethodPost, sharedCluster.EntryURL(1)+"/v1/chat/completions", "application/json", body)
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), text)
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	g.Expect(json.Unmarshal([]byte(text), &completion)).To(Succeed())
	g.Expect(strings.Fields(completion.Choices[0].Message.Content)).To(HaveLen(len(strings.Fields(labengine.ResponseText("hello", 5)))))
}
