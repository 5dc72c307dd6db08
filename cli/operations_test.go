package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/jobs"
)

func items(name string, count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions",`, name, i)
		fmt.Fprintln(&text, `"body":{"model":"dam-watch","prompt":"crest 4","max_tokens":2}}`)
	}
	return text.String()
}

func submitted(t *testing.T, text string) jobs.Job {
	t.Helper()
	g := NewWithT(t)
	result := call("submit", "-f", write(t, text), "-o", "json")
	g.Expect(result.code).To(Equal(ExitSuccess), result.err)
	var job jobs.Job
	g.Expect(json.Unmarshal([]byte(result.out), &job)).To(Succeed())
	return job
}

func TestJobRunsFromSubmissionToResults(t *testing.T) {
	g := NewWithT(t)
	const count = 12
	job := submitted(t, items("run", count))
	g.Expect(submitted(t, items("run", count)).ID).To(Equal(job.ID), "a repeated submission is the same job")
	watched := call("watch", "-interval", "20ms", job.ID)
	g.Expect(watched.code).To(Equal(ExitSuccess), watched.err)
	g.Expect(watched.out).To(HaveSuffix("12/12 finished, 0 failed, completed\n"))
	results := call("results", job.ID)
	g.Expect(results.code).To(Equal(ExitSuccess), results.err)
	g.Expect(strings.Count(results.out, "\n")).To(Equal(count))
	g.Expect(call("get", job.ID).out).To(ContainSubstring("completed"))
	g.Expect(call("list", "-limit", "100").out).To(ContainSubstring(job.ID))
	g.Expect(call("get", "-o", "yaml", job.ID).out).To(ContainSubstring("status: completed"))
}

func TestWatchOfCancelledJobFails(t *testing.T) {
	g := NewWithT(t)
	job := submitted(t, items("cancel", 3000))
	g.Expect(call("cancel", job.ID).out).To(ContainSubstring("cancelled"))
	watched := call("watch", "-interval", "20ms", job.ID)
	g.Expect(watched.code).To(Equal(ExitFailed))
	g.Expect(watched.err).To(ContainSubstring("is cancelled"))
}

func TestUnknownJobsAndInvalidItemsAreRefused(t *testing.T) {
	g := NewWithT(t)
	g.Expect(call("get", "batch-none").code).To(Equal(ExitFailed))
	g.Expect(call("results", "batch-none").code).To(Equal(ExitFailed))
	g.Expect(call("submit", "-f", write(t, "not JSON\n")).code).To(Equal(ExitUsage))
}

func TestUpstreamsAreListedAndDrained(t *testing.T) {
	g := NewWithT(t)
	g.Eventually(func() string { return operate("upstream list").out }, waitLimit, pollTime).Should(ContainSubstring("sidecar-2"))
	g.Expect(operate("upstream drain", "sidecar-2").out).To(Equal("sidecar-2 is draining\n"))
	state := func() string { return operate("upstream list", "-o", "json").out }
	g.Eventually(state, waitLimit, pollTime).Should(ContainSubstring(`"draining": true`))
	g.Expect(operate("upstream undrain", "sidecar-2").out).To(Equal("sidecar-2 is serving\n"))
	g.Eventually(state, waitLimit, pollTime).ShouldNot(ContainSubstring(`"draining": true`))
	g.Expect(operate("upstream drain", "nobody").code).To(Equal(ExitFailed))
}

func TestOrdersAreIssuedOnceAndShown(t *testing.T) {
	g := NewWithT(t)
	load := []string{"-change-id", "order-one", "sidecar-1", "adapter", "seepage"}
	first := operate("order load", load...)
	g.Expect(first.code).To(Equal(ExitSuccess), first.err)
	g.Expect(operate("order load", load...).out).To(Equal(first.out))
	show := func() string { return operate("order show", "sidecar-1").out }
	g.Eventually(show, waitLimit, pollTime).Should(MatchRegexp(`finished last +\d+ load adapter seepage, done`))
	g.Expect(operate("order unload", "sidecar-1", "adapter", "seepage").code).To(Equal(ExitSuccess))
	g.Eventually(show, waitLimit, pollTime).Should(MatchRegexp(`finished last +\d+ unload adapter seepage, done`))
}

func TestStatusAndRolloutShowTheRevisionInForce(t *testing.T) {
	g := NewWithT(t)
	accepted := operate("apply", "-f", write(t, profileText("rolled", "9s")))
	g.Expect(accepted.code).To(Equal(ExitSuccess), accepted.err)
	revision := strings.TrimSpace(strings.TrimPrefix(accepted.out, "accepted at revision "))
	watched := operate("rollout watch", "-interval", "20ms", "-revision", revision)
	g.Expect(watched.code).To(Equal(ExitSuccess), watched.err)
	g.Expect(watched.out).To(MatchRegexp(`in force on (\d+) of (\d+) daemons\n$`))
	g.Expect(operate("status").out).To(ContainSubstring("sidecar-1"))
	g.Expect(operate("status", "-o", "yaml").out).To(ContainSubstring("configRevision:"))
	never := operate("rollout watch", "-interval", "20ms", "-timeout", "100ms", "-revision", "1000000")
	g.Expect(never.code).To(Equal(ExitFailed))
}
