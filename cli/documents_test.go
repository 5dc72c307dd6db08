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
	file := write(t, profileText("applied", "9s"))
	first := operate("apply", "-f", file)
	g.Expect(first.code).To(Equal(ExitSuccess), first.err)
	g.Expect(first.out).To(HavePrefix("accepted at revision "))
	again := operate("apply", "-f", file)
	g.Expect(again.code).To(Equal(ExitSuccess), again.err)
	g.Expect(again.out).To(HavePrefix("unchanged at revision "))
}

func TestGetShowsDocumentsInEachFormat(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operate("get").out).To(ContainSubstring("service/dam-watch"))
	g.Expect(operate("get", "-o", "json", "service/dam-watch").out).To(ContainSubstring(`"name": "dam-watch"`))
	text := operate("get", "-o", "yaml", "service/dam-watch").out
	documents, err := config.Parse("get", []byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(documents).To(HaveLen(1))
	g.Expect(operate("get", "service/nowhere").code).To(Equal(ExitFailed))
}

func TestDescribeShowsUsersAndChanges(t *testing.T) {
	g := NewWithT(t)
	profile := operate("get", "-o", "json", "service/dam-watch").out
	g.Expect(profile).To(ContainSubstring(`"profile": "inspector"`))
	described := operate("describe", "profile/inspector")
	g.Expect(described.code).To(Equal(ExitSuccess), described.err)
	g.Expect(described.out).To(ContainSubstring("Used by: service/dam-watch"))
	g.Expect(described.out).To(ContainSubstring("Latest changes:"))
}

func TestDiffShowsWhatApplyWouldChange(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operate("apply", "-f", write(t, profileText("differing", "9s"))).code).To(Equal(ExitSuccess))
	changed := write(t, profileText("differing", "11s"))
	diff := operate("diff", "-f", changed)
	g.Expect(diff.code).To(Equal(ExitDifferent))
	g.Expect(diff.out).To(ContainSubstring("-  due: 9s\n+  due: 11s\n"))
	g.Expect(operate("apply", "-f", changed).code).To(Equal(ExitSuccess))
	same := operate("diff", "-f", changed)
	g.Expect(same.code).To(Equal(ExitSuccess))
	g.Expect(same.out).To(Equal("no differences\n"))
}

func TestConflictShowsBothVersionsAndWhatToDo(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operate("apply", "-f", write(t, profileText("disputed", "9s"))).code).To(Equal(ExitSuccess))
	seen := operate("get", "-o", "yaml", "profile/disputed").out
	g.Expect(operate("apply", "-f", write(t, profileText("disputed", "11s"))).code).To(Equal(ExitSuccess))
	mine := strings.Replace(seen, "due: 9s", "due: 13s", 1)
	lost := operate("apply", "-f", write(t, mine))
	g.Expect(lost.code).To(Equal(ExitConflict))
	g.Expect(lost.err).To(ContainSubstring("as they stand"))
	g.Expect(lost.err).To(ContainSubstring("due: 11s"))
	g.Expect(lost.err).To(ContainSubstring("due: 13s"))
	g.Expect(lost.err).To(ContainSubstring("apply it again"))
}

func TestDeleteIsIdempotentAndRecordedInHistory(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operate("apply", "-f", write(t, profileText("deleted", "9s"))).code).To(Equal(ExitSuccess))
	first := operate("delete", "profile/deleted")
	g.Expect(first.code).To(Equal(ExitSuccess), first.err)
	g.Expect(operate("delete", "profile/deleted").out).To(Equal(first.out))
	g.Expect(operate("delete", "profile/never").code).To(Equal(ExitFailed))
	g.Expect(operate("delete", "-revision", "1", "profile/inspector").code).NotTo(Equal(ExitSuccess))
	history := operate("history", "profile/deleted").out
	g.Expect(strings.Count(history, "profile/deleted")).To(Equal(2))
	g.Expect(history).To(ContainSubstring("tester"))
	g.Expect(operate("history", "-o", "yaml", "-limit", "1").out).To(ContainSubstring("records:"))
}

func TestProfilesInUseAreNotDeleted(t *testing.T) {
	g := NewWithT(t)
	refused := operate("delete", "profile/inspector")
	g.Expect(refused.code).To(Equal(ExitUsage))
	g.Expect(refused.err).To(ContainSubstring("service/dam-watch"))
}

func TestEditSetsFields(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operate("apply", "-f", write(t, profileText("edited", "9s"))).code).To(Equal(ExitSuccess))
	edited := operate("edit", "profile/edited", "due=15s", "priority=7")
	g.Expect(edited.code).To(Equal(ExitSuccess), edited.err)
	text := operate("get", "-o", "yaml", "profile/edited").out
	g.Expect(text).To(And(ContainSubstring("due: 15s"), ContainSubstring("priority: 7")))
	g.Expect(operate("edit", "profile/edited", "dew=15s").code).To(Equal(ExitUsage))
	g.Expect(operate("edit", "profile/edited", "due").code).To(Equal(ExitUsage))
}

func TestEditAppliesAFile(t *testing.T) {
	g := NewWithT(t)
	g.Expect(operate("apply", "-f", write(t, profileText("filed", "9s"))).code).To(Equal(ExitSuccess))
	file := filepath.Join(t.TempDir(), "edit.yaml")
	line := []string{"edit", "-server", installation.ControlURL(0), "-f", file, "profile/filed"}
	kept := run("no\n", line...)
	g.Expect(kept.out).To(ContainSubstring("nothing applied"))
	g.Expect(run("\n", line...).code).To(Equal(ExitUsage), "the file is in the way")
	g.Expect(os.Remove(file)).To(Succeed())

	a := &app{in: &editor{file: file, old: "due: 9s", new: "due: 17s"}, err: os.Stderr}
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	g.Expect(err).NotTo(HaveOccurred())
	a.out = out
	root := a.root()
	g.Expect(root.Parse(line)).To(Succeed())
	g.Expect(root.Run(t.Context())).To(Succeed())
	g.Expect(operate("get", "-o", "yaml", "profile/filed").out).To(ContainSubstring("due: 17s"))
	g.Expect(file).NotTo(BeAnExistingFile())
}

// editor changes a file when the command waits for the operator.
type editor struct{ file, old, new string }

func (e *editor) Read(p []byte) (int, error) {
	text, err := os.ReadFile(e.file)
	if err != nil {
		return 0, err
	}
	edited := strings.Replace(string(text), e.old, e.new, 1)
	return copy(p, "\n"), os.WriteFile(e.file, []byte(edited), 0o600)
}
