package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/jobs"
)

func batchItems(name string, count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions",`, name, i)
		fmt.Fprintln(&text, `"body":{"model":"dam-watch","prompt":"crest 4","max_tokens":2}}`)
	}
	return text.String()
}

func submitJob(t *testing.T, text string) jobs.Job {
	t.Helper()
	g := NewWithT(t)
	result := runJob("submit", "-f", writeTempFile(t, text), "-o", "json")
	g.Expect(result.exitCode).To(Equal(ExitSuccess), result.stderr)
	var job jobs.Job
	g.Expect(json.Unmarshal([]byte(result.stdout), &job)).To(Succeed())
	return job
}

func TestJobRunsFromSubmissionToResults(t *testing.T) {
	g := NewWithT(t)
	const count = 12
	job := submitJob(t, batchItems("run", count))
	g.Expect(submitJob(t, batchItems("run", count)).ID).To(Equal(job.ID), "a repeated submission returns the same job")
	watched := runJob("watch", "-interval", "20ms", job.ID)
	g.Expect(watched.exitCode).To(Equal(ExitSuccess), watched.stderr)
	g.Expect(watched.stdout).To(HaveSuffix("12/12 finished, 0 failed, completed\n"))
	results := runJob("results", job.ID)
	g.Expect(results.exitCode).To(Equal(ExitSuccess), results.stderr)
	g.Expect(strings.Count(results.stdout, "\n")).To(Equal(count))
	g.Expect(runJob("get", job.ID).stdout).To(ContainSubstring("completed"))
	g.Expect(runJob("list", "-limit", "100").stdout).To(ContainSubstring(job.ID))
	g.Expect(runJob("get", "-o", "yaml", job.ID).stdout).To(ContainSubstring("status: completed"))
}

func TestWatchOfCancelledJobFails(t *testing.T) {
	g := NewWithT(t)
	job := submitJob(t, batchItems("cancel", 3000))
	g.Expect(runJob("cancel", job.ID).stdout).To(ContainSubstring("cancelled"))
	watched := runJob("watch", "-interval", "20ms", job.ID)
	g.Expect(watched.exitCode).To(Equal(ExitFailed))
	g.Expect(watched.stderr).To(ContainSubstring("ended with status cancelled"))
}

func TestUnknownJobsAndInvalidItemsAreRefused(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runJob("get", "batch-none").exitCode).To(Equal(ExitFailed))
	g.Expect(runJob("results", "batch-none").exitCode).To(Equal(ExitFailed))
	g.Expect(runJob("submit", "-f", writeTempFile(t, "not JSON\n")).exitCode).To(Equal(ExitUsage))
}

func TestUpstreamsAreListedAndDrained(t *testing.T) {
	g := NewWithT(t)
	g.Eventually(func() string { return runOperator("upstream list").stdout }, waitTimeout, pollInterval).Should(ContainSubstring("sidecar-2"))
	g.Expect(runOperator("upstream drain", "sidecar-2").stdout).To(Equal("sidecar-2 is draining\n"))
	state := func() string { return runOperator("upstream list", "-o", "json").stdout }
	g.Eventually(state, waitTimeout, pollInterval).Should(ContainSubstring(`"draining": true`))
	g.Expect(runOperator("upstream undrain", "sidecar-2").stdout).To(Equal("sidecar-2 is serving\n"))
	g.Eventually(state, waitTimeout, pollInterval).ShouldNot(ContainSubstring(`"draining": true`))
	g.Expect(runOperator("upstream drain", "nobody").exitCode).To(Equal(ExitFailed))
}

func TestOrdersAreIssuedOnceAndShown(t *testing.T) {
	g := NewWithT(t)
	load := []string{"-change-id", "order-one", "sidecar-1", "adapter", "seepage"}
	first := runOperator("order load", load...)
	g.Expect(first.exitCode).To(Equal(ExitSuccess), first.stderr)
	g.Expect(runOperator("order load", load...).stdout).To(Equal(first.stdout))
	show := func() string { return runOperator("order show", "sidecar-1").stdout }
	g.Eventually(show, waitTimeout, pollInterval).Should(MatchRegexp(`finished last +\d+ load adapter seepage, done`))
	g.Expect(runOperator("order unload", "sidecar-1", "adapter", "seepage").exitCode).To(Equal(ExitSuccess))
	g.Eventually(show, waitTimeout, pollInterval).Should(MatchRegexp(`finished last +\d+ unload adapter seepage, done`))
}

func TestStatusAndRolloutShowTheRevisionInForce(t *testing.T) {
	g := NewWithT(t)
	accepted := runOperator("apply", "-f", writeTempFile(t, profileText("rolled", "9s")))
	g.Expect(accepted.exitCode).To(Equal(ExitSuccess), accepted.stderr)
	revision := strings.TrimSpace(strings.TrimPrefix(accepted.stdout, "accepted at revision "))
	watched := runOperator("rollout watch", "-interval", "20ms", "-revision", revision)
	g.Expect(watched.exitCode).To(Equal(ExitSuccess), watched.stderr)
	g.Expect(watched.stdout).To(MatchRegexp(`in force on (\d+) of (\d+) daemons\n$`))
	g.Expect(runOperator("status").stdout).To(ContainSubstring("sidecar-1"))
	g.Expect(runOperator("status", "-o", "yaml").stdout).To(ContainSubstring("configRevision:"))
	timedOut := runOperator("rollout watch", "-interval", "20ms", "-timeout", "100ms", "-revision", "1000000")
	g.Expect(timedOut.exitCode).To(Equal(ExitFailed))
}
