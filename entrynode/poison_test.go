package entrynode

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/quarantine"
)

// promptPart is the header of testCodec that lists the shared parts of a prompt.
const promptPart = "Test-Prompt-Part"

// crashHead is the head of a response whose engine crashes before the first event.
const crashHead = "HTTP/1.1 200 OK\r\nMark: m\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n<cut>"

// startCrashing starts engines that crash when they begin to answer a request with the
// part "deadly". It returns the number of such requests that they received.
func startCrashing(t *testing.T, count int) (engines []*engine, crashes *atomic.Int32) {
	t.Helper()
	crashes = &atomic.Int32{}
	for range count {
		engines = append(engines, startEngine(t, func(_ int, r *http.Request) string {
			if slices.Contains(r.Header[promptPart], "deadly") {
				crashes.Add(1)
				return crashHead
			}
			return chunked("r1", events(1, 6))
		}))
	}
	return engines, crashes
}

// sendPrompt sends a request for a stream whose prompt has shared parts.
func sendPrompt(t *testing.T, url string, parts ...string) callerResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+"/resume/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Timeout-Ms", "2500")
	r.Header[promptPart] = parts
	return do(r)
}

// Requests with one part of a prompt crash engine after engine. Nothing that the entry
// knew outlived a request, so each of them crashed as many engines as it had attempts.
func TestPromptPartCrashesOneEngineAfterAnother(t *testing.T) {
	expect := NewWithT(t)
	engines, crashes := startCrashing(t, 12)
	url, _ := startEntry(t, engines...)
	expect.Expect(sendPrompt(t, url, "shared").status).To(Equal(http.StatusOK))
	var refused callerResponse
	expect.Eventually(func() int {
		refused = sendPrompt(t, url, "shared", "deadly")
		return refused.status
	}, time.Second, pollInterval).Should(Equal(http.StatusServiceUnavailable))
	expect.Expect(crashes.Load()).To(BeNumerically("<=", 5))
	expect.Expect(refused.retryAfter).NotTo(BeEmpty())
	received := crashes.Load()
	expect.Expect(sendPrompt(t, url, "deadly", "other").status).To(Equal(http.StatusServiceUnavailable))
	expect.Expect(crashes.Load()).To(Equal(received))
	expect.Expect(sendPrompt(t, url, "shared").body).To(Equal(events(1, 6)))
	expect.Expect(sendPrompt(t, url, "shared", "other").body).To(Equal(events(1, 6)))
}

// A request that has been sent to an engine may have run. The caller is not told that it
// has not when its prompt comes into quarantine.
func TestRequestThatCrashedAnEngineIsNotReportedAsNotRun(t *testing.T) {
	expect := NewWithT(t)
	engines, crashes := startCrashing(t, 12)
	url, n := startEntry(t, engines...)
	for i := range 2 {
		n.Quarantine.RecordCrash(dispatch.Grant{Upstream: string(rune('a' + i)), GrantedAt: time.Now()}, []string{"deadly"}, true)
	}
	got := sendPrompt(t, url, "deadly")
	expect.Expect(got.status).To(Equal(http.StatusOK))
	expect.Expect(got.err).To(HaveOccurred())
	expect.Expect(crashes.Load()).To(BeEquivalentTo(1))
}

// An interruption after some events says nothing about the prompt.
func TestInterruptedAnswersAccuseNoPrompt(t *testing.T) {
	expect := NewWithT(t)
	var engines []*engine
	for range 8 {
		engines = append(engines, startEngine(t, func(int, *http.Request) string { return chunked("r1", events(1, 3)+"<cut>") }))
	}
	url, n := startEntry(t, engines...)
	for range 6 {
		expect.Expect(sendPrompt(t, url, "part").status).To(Equal(http.StatusOK))
	}
	_, quarantined := n.Quarantine.Check([]string{"part"})
	expect.Expect(quarantined).To(BeFalse())
}

// Bytes that are no events come from an engine that runs.
func TestMalformedAnswersAccuseNoPrompt(t *testing.T) {
	expect := NewWithT(t)
	var engines []*engine
	garbage := chunked("r1", strings.Repeat("x", 3<<20))
	for range 8 {
		engines = append(engines, startEngine(t, func(int, *http.Request) string { return garbage }))
	}
	url, n := startEntry(t, engines...)
	for range 3 {
		expect.Expect(sendPrompt(t, url, "part").err).To(HaveOccurred())
	}
	_, quarantined := n.Quarantine.Check([]string{"part"})
	expect.Expect(quarantined).To(BeFalse())
}

// sendBody sends a request for a stream with a body. Its prompt has a part that all requests
// share.
func sendBody(t *testing.T, url, path, body string) callerResponse {
	t.Helper()
	return sendParts(t, url, path, body, "shared")
}

// sendParts sends a request for a stream with a body and the shared parts of its prompt.
func sendParts(t *testing.T, url, path, body string, parts ...string) callerResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "r1")
	r.Header.Set("Timeout-Ms", "2500")
	r.Header[promptPart] = parts
	return do(r)
}

// startCrashingOn starts engines that end a connection with the given bytes when they begin to
// run a request with the body "deadly".
func startCrashingOn(t *testing.T, count int, end string) (engines []*engine, crashes *atomic.Int32) {
	t.Helper()
	crashes = &atomic.Int32{}
	for range count {
		engines = append(engines, startEngine(t, func(_ int, r *http.Request) string {
			body, err := io.ReadAll(r.Body)
			if err == nil && string(body) == "deadly" {
				crashes.Add(1)
				return end
			}
			return chunked("r1", events(1, 6))
		}))
	}
	return engines, crashes
}

// One request comes again and again. Its prompt has no part of its own that others could
// share, and the shared ones are served.
func TestRepeatedRequestCrashesOneEngineAfterAnother(t *testing.T) {
	for name, test := range map[string]struct{ route, end string }{
		"stream": {"/resume/", crashHead}, "without a head": {"/repeat/", "<cut>"},
		"stream without a head": {"/resume/", "<cut>"}, "stream that runs once, without a head": {"/stream/", "<cut>"},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			engines, crashes := startCrashingOn(t, 12, test.end)
			url, _ := startEntry(t, engines...)
			expect.Expect(sendBody(t, url, test.route+"x", "sound").status).To(Equal(http.StatusOK))
			var refused callerResponse
			expect.Eventually(func() int {
				refused = sendBody(t, url, test.route+"x", "deadly")
				return refused.status
			}, 2*time.Second, pollInterval).Should(Equal(http.StatusServiceUnavailable))
			expect.Expect(refused.retryAfter).NotTo(BeEmpty())
			expect.Expect(crashes.Load()).To(BeNumerically("<=", 5))
			received := crashes.Load()
			for range 3 {
				expect.Expect(sendBody(t, url, test.route+"x", "deadly").status).To(Equal(http.StatusServiceUnavailable))
			}
			expect.Expect(crashes.Load()).To(Equal(received))
			expect.Expect(sendBody(t, url, test.route+"x", "sound").body).To(Equal(events(1, 6)))
			expect.Expect(sendBody(t, url, test.route+"other", "sound").body).To(Equal(events(1, 6)))
		})
	}
}

// Engines crash on a part before they send the head of a response. No two of the requests
// are alike, so that only the part explains the crashes.
func TestPromptPartCrashesEnginesBeforeTheHead(t *testing.T) {
	expect := NewWithT(t)
	crashes := &atomic.Int32{}
	var engines []*engine
	for range 16 {
		engines = append(engines, startEngine(t, func(_ int, r *http.Request) string {
			if slices.Contains(r.Header[promptPart], "deadly") {
				crashes.Add(1)
				return "<cut>"
			}
			return chunked("r1", events(1, 6))
		}))
	}
	url, _ := startEntry(t, engines...)
	expect.Expect(sendPrompt(t, url, "shared").status).To(Equal(http.StatusOK))
	sent := 0
	expect.Eventually(func() int {
		sent++
		return sendParts(t, url, fmt.Sprintf("/resume/%d", sent), "body", "shared", "deadly").status
	}, 2*time.Second, pollInterval).Should(Equal(http.StatusServiceUnavailable))
	received := crashes.Load()
	expect.Expect(received).To(BeNumerically("<=", 6))
	for i := range 5 {
		expect.Expect(sendParts(t, url, fmt.Sprintf("/resume/again-%d", i), "body", "deadly").status).To(Equal(http.StatusServiceUnavailable))
	}
	expect.Expect(crashes.Load()).To(Equal(received))
	expect.Expect(sendPrompt(t, url, "shared").body).To(Equal(events(1, 6)))
}

// Streams wait, without the head of a response, at engines that crash on another request.
// They share a part that nobody was answered with lately, and none of them is refused when it
// comes again.
func TestStreamsThatWaitBesideADeadlyRequestAreNotRefused(t *testing.T) {
	expect := NewWithT(t)
	engines, crashes := startCrashingOn(t, 12, "<cut>")
	url, n := startEntry(t, engines...)
	for i := range 4 {
		lost := engines[i]
		grant := dispatch.Grant{Upstream: lost.address, GrantedAt: time.Now()}
		n.Quarantine.RecordCrash(grant, []string{"waiting", quarantine.RequestPart(fmt.Sprint("waiting-", i))}, false)
		n.Quarantine.RecordCrash(grant, []string{"shared", quarantine.RequestPart("deadly")}, false)
	}
	_, refused := n.Quarantine.Check([]string{quarantine.RequestPart("deadly")})
	expect.Expect(refused).To(BeTrue())
	_, refused = n.Quarantine.Check([]string{"waiting", "shared"})
	expect.Expect(refused).To(BeFalse())
	for i := range 4 {
		expect.Expect(sendParts(t, url, fmt.Sprintf("/resume/%d", i), "sound", "waiting").body).To(Equal(events(1, 6)))
	}
	expect.Expect(crashes.Load()).To(BeZero())
}
