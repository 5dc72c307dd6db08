package kv

import (
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func dump(r Reader) [][2]string {
	out := [][2]string{}
	r.Scan(nil, nil, func(key, value []byte) bool {
		out = append(out, [2]string{string(key), string(value)})
		return true
	})
	return out
}

func TestPrefixEnd(t *testing.T) {
	g := NewWithT(t)
	g.Expect(PrefixEnd([]byte("a"))).To(Equal([]byte("b")))
	g.Expect(PrefixEnd([]byte{'a', 0xff})).To(Equal([]byte("b")))
	g.Expect(PrefixEnd([]byte{0xff})).To(BeNil())
}

func TestDiskStoreMatchesMemoryStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk, err := OpenDiskStore("data", vfs.NewMem())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = disk.Close() }()
		memory := NewMemoryStore()
		for range rapid.IntRange(1, 4).Draw(t, "batches") {
			writes := rapid.IntRange(0, 8).Draw(t, "writes")
			diskWrites, memoryWrites := disk.NewBatch(), memory.NewBatch()
			for range writes {
				key := []byte(rapid.StringMatching("[a-c]{1,2}").Draw(t, "key"))
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0:
					value := rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "value")
					diskWrites.Set(key, value)
					memoryWrites.Set(key, value)
				case 1:
					diskWrites.Delete(key)
					memoryWrites.Delete(key)
				default:
					diskWrites.DeleteRange(key, PrefixEnd(key))
					memoryWrites.DeleteRange(key, PrefixEnd(key))
				}
			}
			NewWithT(t).Expect(dump(diskWrites)).To(Equal(dump(memoryWrites)))
			NewWithT(t).Expect(disk.Commit(diskWrites, true)).To(Succeed())
			NewWithT(t).Expect(memory.Commit(memoryWrites, true)).To(Succeed())
		}
		NewWithT(t).Expect(dump(disk)).To(Equal(dump(memory)))
	})
}

func TestSyncedWritesSurviveCrash(t *testing.T) {
	g := NewWithT(t)
	fs := vfs.NewCrashableMem()
	disk, err := OpenDiskStore("data", fs)
	g.Expect(err).NotTo(HaveOccurred())
	synced := disk.NewBatch()
	synced.Set([]byte("synced"), []byte("1"))
	g.Expect(disk.Commit(synced, true)).To(Succeed())
	unsynced := disk.NewBatch()
	unsynced.Set([]byte("unsynced"), []byte("1"))
	g.Expect(disk.Commit(unsynced, false)).To(Succeed())
	crashed := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 0})
	g.Expect(disk.Close()).To(Succeed())

	reopened, err := OpenDiskStore("data", crashed)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = reopened.Close() }()
	g.Expect(dump(reopened)).To(Equal([][2]string{{"synced", "1"}}))
}
