package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/config"
)

func TestApplyIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	file := writeTempFile(t, profileText("applied", "9s"))
	first := runOperator("apply", "-f", file)
	g.Expect(first.exitCode).To(Equal(ExitSuccess), first.stderr)
	g.Expect(first.stdout).To(HavePrefix("accepted at revision "))
	again := runOperator("apply", "-f", file)
	g.Expect(again.exitCode).To(Equal(ExitSuccess), again.stderr)
	g.Expect(again.stdout).To(HavePrefix("unchanged at revision "))
}

func TestGetShowsDocumentsInEachFormat(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runOperator("get").stdout).To(ContainSubstring("service/dam-watch"))
	g.Expect(runOperator("get", "-o", "json", "service/dam-watch").stdout).To(ContainSubstring(`"name": "dam-watch"`))
	text := runOperator("get", "-o", "yaml", "service/dam-watch").stdout
	documents, err := config.Parse("get", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(documents).To(HaveLen(1))
	g.Expect(runOperator("get", "service/nowhere").exitCode).To(Equal(ExitFailed))
}

func TestDescribeShowsUsersAndChanges(t *testing.T) {
	g := NewWithT(t)
	profile := runOperator("get", "-o", "json", "service/dam-watch").stdout
	g.Expect(profile).To(ContainSubstring(`"profile": "inspector"`))
	described := runOperator("describe", "profile/inspector")
	g.Expect(described.exitCode).To(Equal(ExitSuccess), described.stderr)
	g.Expect(described.stdout).To(ContainSubstring("Used by: service/dam-watch"))
	g.Expect(described.stdout).To(ContainSubstring("Latest changes:"))
}

func TestDiffShowsWhatApplyWouldChange(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runOperator("apply", "-f", writeTempFile(t, profileText("differing", "9s"))).exitCode).To(Equal(ExitSuccess))
	changed := writeTempFile(t, profileText("differing", "11s"))
	diff := runOperator("diff", "-f", changed)
	g.Expect(diff.exitCode).To(Equal(ExitDifferent))
	g.Expect(diff.stdout).To(ContainSubstring("-  due: 9s\n+  due: 11s\n"))
	g.Expect(runOperator("apply", "-f", changed).exitCode).To(Equal(ExitSuccess))
	same := runOperator("diff", "-f", changed)
	g.Expect(same.exitCode).To(Equal(ExitSuccess))
	g.Expect(same.stdout).To(Equal("no differences\n"))
}

func TestConflictShowsBothVersionsAndWhatToDo(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runOperator("apply", "-f", writeTempFile(t, profileText("disputed", "9s"))).exitCode).To(Equal(ExitSuccess))
	seen := runOperator("get", "-o", "yaml", "profile/disputed").stdout
	g.Expect(runOperator("apply", "-f", writeTempFile(t, profileText("disputed", "11s"))).exitCode).To(Equal(ExitSuccess))
	edited := strings.Replace(seen, "due: 9s", "due: 13s", 1)
	conflict := runOperator("apply", "-f", writeTempFile(t, edited))
	g.Expect(conflict.exitCode).To(Equal(ExitConflict))
	g.Expect(conflict.stderr).To(ContainSubstring("current documents:"))
	g.Expect(conflict.stderr).To(ContainSubstring("due: 11s"))
	g.Expect(conflict.stderr).To(ContainSubstring("due: 13s"))
	g.Expect(conflict.stderr).To(ContainSubstring("apply it again"))
}

func TestDeleteIsIdempotentAndRecordedInHistory(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runOperator("apply", "-f", writeTempFile(t, profileText("deleted", "9s"))).exitCode).To(Equal(ExitSuccess))
	first := runOperator("delete", "profile/deleted")
	g.Expect(first.exitCode).To(Equal(ExitSuccess), first.stderr)
	g.Expect(runOperator("delete", "profile/deleted").stdout).To(Equal(first.stdout))
	g.Expect(runOperator("delete", "profile/never").exitCode).To(Equal(ExitFailed))
	g.Expect(runOperator("delete", "-revision", "1", "profile/inspector").exitCode).NotTo(Equal(ExitSuccess))
	history := runOperator("history", "profile/deleted").stdout
	g.Expect(strings.Count(history, "profile/deleted")).To(Equal(2))
	g.Expect(history).To(ContainSubstring("tester"))
	g.Expect(runOperator("history", "-o", "yaml", "-limit", "1").stdout).To(ContainSubstring("records:"))
}

func TestProfilesInUseAreNotDeleted(t *testing.T) {
	g := NewWithT(t)
	refused := runOperator("delete", "profile/inspector")
	g.Expect(refused.exitCode).To(Equal(ExitUsage))
	g.Expect(refused.stderr).To(ContainSubstring("service/dam-watch"))
}

func TestEditSetsFields(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runOperator("apply", "-f", writeTempFile(t, profileText("edited", "9s"))).exitCode).To(Equal(ExitSuccess))
	edited := runOperator("edit", "profile/edited", "due=15s", "priority=7")
	g.Expect(edited.exitCode).To(Equal(ExitSuccess), edited.stderr)
	text := runOperator("get", "-o", "yaml", "profile/edited").stdout
	g.Expect(text).To(And(ContainSubstring("due: 15s"), ContainSubstring("priority: 7")))
	g.Expect(runOperator("edit", "profile/edited", "dew=15s").exitCode).To(Equal(ExitUsage))
	g.Expect(runOperator("edit", "profile/edited", "due").exitCode).To(Equal(ExitUsage))
}

func TestEditAppliesAFile(t *testing.T) {
	g := NewWithT(t)
	g.Expect(runOperator("apply", "-f", writeTempFile(t, profileText("filed", "9s"))).exitCode).To(Equal(ExitSuccess))
	file := filepath.Join(t.TempDir(), "edit.yaml")
	line := []string{"edit", "-server", installation.ControlURL(0), "-f", file, "profile/filed"}
	cancelled := runMain("no\n", line...)
	g.Expect(cancelled.stdout).To(ContainSubstring("nothing applied"))
	g.Expect(runMain("\n", line...).exitCode).To(Equal(ExitUsage), "the file already exists")
	g.Expect(os.Remove(file)).To(Succeed())

	a := &app{stdin: &fakeEditor{file: file, oldText: "due: 9s", newText: "due: 17s"}, stderr: os.Stderr}
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	g.Expect(err).NotTo(HaveOccurred())
	a.stdout = out
	root := a.root()
	g.Expect(root.Parse(line)).To(Succeed())
	g.Expect(root.Run(t.Context())).To(Succeed())
	g.Expect(runOperator("get", "-o", "yaml", "profile/filed").stdout).To(ContainSubstring("due: 17s"))
	g.Expect(file).NotTo(BeAnExistingFile())
}

// fakeEditor is a standard input that edits a file when the command waits for
// the operator to press Enter.
type fakeEditor struct{ file, oldText, newText string }

func (e *fakeEditor) Read(p []byte) (int, error) {
	text, err := os.ReadFile(e.file)
	if err != nil {
		return 0, err
	}
	edited := strings.Replace(string(text), e.oldText, e.newText, 1)
	return copy(p, "\n"), os.WriteFile(e.file, []byte(edited), 0o600)
}
