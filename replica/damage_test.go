package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// crashedFolder returns the data folder of a replica as it is after a crash, and
// the last log file of its store.
func crashedFolder(t *testing.T) (folder, log string) {
	t.Helper()
	expect := NewWithT(t)
	folder = filepath.Join(t.TempDir(), "data")
	r, err := openSingleReplica(t, "a", folder)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Eventually(func() string { return r.ReadBarrier(context.Background()).GetReason() }, testTimeout, testTick).Should(BeEmpty())
	for i := range 100 {
		_, failed := r.Propose(context.Background(), claimCommand("key", fmt.Sprint(i)))
		expect.Expect(failed.GetReason()).To(BeEmpty())
	}
	saved := readFiles(t, folder)
	expect.Expect(r.Close()).To(Succeed())
	for path, raw := range saved {
		expect.Expect(os.WriteFile(path, raw, fileMode)).To(Succeed())
	}
	logs, err := filepath.Glob(filepath.Join(folder, storeFolderName, "*.log"))
	expect.Expect(err).NotTo(HaveOccurred())
	return folder, logs[len(logs)-1]
}

// readFiles returns the contents of all files in a folder by path.
func readFiles(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	files := make(map[string][]byte)
	err := filepath.WalkDir(folder, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		raw, err := os.ReadFile(path)
		files[path] = raw
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestCorruptLogIsReportedWithFileAndOffset(t *testing.T) {
	expect := NewWithT(t)
	folder, log := crashedFolder(t)
	raw, err := os.ReadFile(log)
	expect.Expect(err).NotTo(HaveOccurred())
	raw[len(raw)/2] ^= 0x55
	expect.Expect(os.WriteFile(log, raw, fileMode)).To(Succeed())
	for range 2 {
		_, err = openSingleReplica(t, "a", folder)
		expect.Expect(err).To(MatchError(MatchRegexp(`storage lost synced writes: it ends at write \d+ of \d+; file .*\.log is damaged at offset \d+`)))
	}
}

func TestTornLastWriteIsTruncated(t *testing.T) {
	expect := NewWithT(t)
	folder, log := crashedFolder(t)
	file, err := os.OpenFile(log, os.O_APPEND|os.O_WRONLY, fileMode)
	expect.Expect(err).NotTo(HaveOccurred())
	_, err = file.WriteString("half of a record that was never synced")
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(file.Close()).To(Succeed())
	r, err := openSingleReplica(t, "a", folder)
	expect.Expect(err).NotTo(HaveOccurred())
	defer func() { expect.Expect(r.Close()).To(Succeed()) }()
	expect.Eventually(func() string { return r.ReadBarrier(context.Background()).GetReason() }, testTimeout, testTick).Should(BeEmpty())
	expect.Expect(readKey(r, "key")).To(Equal("99"))
}

func TestDamagedRecordIsRefused(t *testing.T) {
	expect := NewWithT(t)
	value := addChecksum(logKey(7), []byte("payload"))
	value[len(value)-1] ^= 1
	_, err := verifyChecksum(logKey(7), value)
	expect.Expect(err).To(MatchError(ContainSubstring("its checksum does not match")))
}
