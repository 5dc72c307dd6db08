package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/devd"
)

// firstTestPort avoids the ports of other packages' tests, which run
// concurrently.
const firstTestPort = 28000

// installation is shared by the tests of this package. Each test uses its own
// documents.
var installation *devd.Cluster

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	settings := &devd.Settings{Entries: 1, Sidecars: 2, LogLevel: "error", Seed: 1}
	settings.BasePort = devd.FreeBasePortFrom(firstTestPort, settings.PortCount())
	cluster, err := devd.Start(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	installation = cluster
	code := m.Run()
	if err := cluster.Stop(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

// commandResult is the exit code and output of a command.
type commandResult struct {
	exitCode       int
	stdout, stderr string
}

// runMain runs a command line with the given standard input.
func runMain(input string, args ...string) commandResult {
	var out, errOut bytes.Buffer
	code := Main(args, strings.NewReader(input), &out, &errOut)
	return commandResult{code, out.String(), errOut.String()}
}

// runOperator runs an operators' command against the installation. words is the
// command's name; args are its flags and arguments.
func runOperator(words string, args ...string) commandResult {
	line := append(strings.Fields(words), "-server", installation.ControlURL(0), "-operator", "tester")
	return runMain("", append(line, args...)...)
}

// runJob runs a batch job command against the installation.
func runJob(word string, args ...string) commandResult {
	line := []string{"job", word, "-entry", installation.EntryURL(0), "-caller", "tester"}
	return runMain("", append(line, args...)...)
}

func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	NewWithT(t).Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

func profileText(name, due string) string {
	return fmt.Sprintf("kind: Profile\nname: %s\nschemaVersion: 1\nspec:\n  class: online\n  due: %s\n", name, due)
}

func TestUsageErrorsExitWithUsageCode(t *testing.T) {
	g := NewWithT(t)
	for _, line := range []string{
		"nothing", "get -o xml", "apply", "apply -f", "delete", "job nothing", "job get", "order load up model",
		"order load up engine m", "order role up", "rollout watch -timeout 0s", "completion zsh", "status more",
		"diff -f missing-file", "edit", "control -id c1", "history -limit x", "job watch -interval 0s j",
	} {
		g.Expect(runMain("", strings.Fields(line)...).exitCode).To(Equal(ExitUsage), line)
	}
}

func TestUnreachableServersExitCode(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runMain("", "status", "-server", "http://127.0.0.1:1").exitCode).To(Equal(ExitFailed))
	g.Expect(runMain("", "job", "get", "-entry", "http://127.0.0.1:1", "j").exitCode).To(Equal(ExitOutcomeUnknown))
}

func TestVersionAndCompletionOutput(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runMain("", "version").stdout).To(HavePrefix("briarcross "))
	script := runMain("", "completion", "bash").stdout
	for _, word := range []string{`" job submit") words="`, "rollout", "-server"} {
		g.Expect(script).To(ContainSubstring(word))
	}
}

// waitTimeout only bounds failing tests: waits end as soon as their condition
// holds.
const (
	waitTimeout  = "60s"
	pollInterval = "20ms"
)
