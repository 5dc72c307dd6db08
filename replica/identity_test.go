package replica

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
)

func openSingleReplica(t *testing.T, id, folder string) (*Replica, error) {
	t.Helper()
	return Open(Options{
		ID: id, Folder: folder, Bootstrap: replicaList(id), TickInterval: testTick,
		StateMachine: claimStateMachine{}, Send: func(*pb.QuorumMessage) {},
		OnStorageError: func(err error) { t.Error(err) },
	})
}

func createFolder(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	r, err := openSingleReplica(t, "a", folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	return folder
}

func TestFolderOfAnotherReplicaIsRefused(t *testing.T) {
	folder := createFolder(t)
	_, err := openSingleReplica(t, "b", folder)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring(folder + " belongs to replica a of group 0")))
}

func TestCopiedFolderIsRefused(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	copied := filepath.Join(t.TempDir(), "copy")
	expect.Expect(os.CopyFS(copied, os.DirFS(folder))).To(Succeed())
	_, err := openSingleReplica(t, "a", copied)
	expect.Expect(err).To(MatchError(ContainSubstring("is a copy")))
}

func TestFolderWithoutIdentityFileIsRefused(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	expect.Expect(os.Remove(filepath.Join(folder, identityFileName))).To(Succeed())
	_, err := openSingleReplica(t, "a", folder)
	expect.Expect(err).To(MatchError(ContainSubstring("has no identity file")))
}

func TestEmptiedStorageGetsNewIdentity(t *testing.T) {
	expect := NewWithT(t)
	folder := createFolder(t)
	path := filepath.Join(folder, identityFileName)
	before, err := readIdentity(path)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(os.RemoveAll(filepath.Join(folder, storeFolderName))).To(Succeed())
	r, err := openSingleReplica(t, "a", folder)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(r.Close()).To(Succeed())
	after, err := readIdentity(path)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(after.Identity).NotTo(Equal(before.Identity))
}
