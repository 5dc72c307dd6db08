package replica

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/briarcross/briarcross/internal/durable"
	"github.com/briarcross/briarcross/kv"
	"github.com/rotisserie/eris"
)

const (
	identityFileName = "identity.json"
	storeFolderName  = "store"
	folderMode       = 0o700
	fileMode         = 0o600
)

// identityFile names the owner of a data folder. The inode number tells a
// copy of the file from the original.
type identityFile struct {
	ReplicaID string `json:"replica"`
	Group     uint32 `json:"group"`
	Identity  uint64 `json:"identity"`
	Inode     uint64 `json:"inode"`
}

// newIdentity returns a random identity other than zero.
func newIdentity() (uint64, error) {
	var raw [8]byte
	for {
		if _, err := rand.Read(raw[:]); err != nil {
			return 0, eris.Wrap(err, "draw identity")
		}
		if identity := binary.BigEndian.Uint64(raw[:]); identity != 0 {
			return identity, nil
		}
	}
}

// openFolder opens the storage of a data folder and returns its identity. An
// empty storage gets a new one.
func openFolder(options *Options) (kv.Store, uint64, error) {
	if err := os.MkdirAll(options.Folder, folderMode); err != nil {
		return nil, 0, eris.Wrapf(err, "create data folder %s", options.Folder)
	}
	path := filepath.Join(options.Folder, identityFileName)
	file, err := readIdentity(path)
	if err != nil {
		return nil, 0, err
	}
	if err := file.checkNotCopied(path, options); err != nil {
		return nil, 0, err
	}
	if err := file.checkOwner(path, options); err != nil {
		return nil, 0, err
	}
	if err := checkSyncedWrites(options.Folder); err != nil {
		return nil, 0, eris.Wrapf(err, "open data folder %s", options.Folder)
	}
	store, err := kv.OpenDiskStore(filepath.Join(options.Folder, storeFolderName), nil)
	if err != nil {
		return nil, 0, err
	}
	// A power loss must not remove the name of a new store's folder.
	if err := durable.SyncFolder(options.Folder); err != nil {
		return nil, 0, errors.Join(err, store.Close())
	}
	identity, err := verifyOrInitIdentity(store, file, path, options)
	if err != nil {
		return nil, 0, errors.Join(err, store.Close())
	}
	return store, identity, nil
}

// readIdentity returns nil when there is no identity file.
func readIdentity(path string) (*identityFile, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read identity file %s", path)
	}
	file := &identityFile{}
	if err := json.Unmarshal(raw, file); err != nil {
		return nil, eris.Wrapf(err, "identity file %s is damaged", path)
	}
	return file, nil
}

// checkNotCopied refuses a copied folder, as far as inode numbers tell.
func (f *identityFile) checkNotCopied(path string, options *Options) error {
	if f == nil || options.UnstableInodes {
		return nil
	}
	inode, err := inodeNumber(path)
	if err != nil {
		return err
	}
	if inode != f.Inode {
		return eris.Errorf("data folder %s is a copy: start with an empty folder to join again", filepath.Dir(path))
	}
	return nil
}

func (f *identityFile) checkOwner(path string, options *Options) error {
	if f == nil {
		return nil
	}
	if f.ReplicaID != options.ID || f.Group != options.Group {
		return eris.Errorf("data folder %s belongs to replica %s of group %d, not to replica %s of group %d",
			filepath.Dir(path), f.ReplicaID, f.Group, options.ID, options.Group)
	}
	return nil
}

// verifyOrInitIdentity compares the identity file with the storage, or names a new
// folder.
func verifyOrInitIdentity(store kv.Store, file *identityFile, path string, options *Options) (uint64, error) {
	stored, err := getNumber(store, keyIdentity)
	if err != nil {
		return 0, err
	}
	if stored == 0 {
		return initIdentity(store, path, options)
	}
	if file == nil {
		return 0, eris.Errorf("data folder %s has no identity file: start with an empty folder to join again", filepath.Dir(path))
	}
	if file.Identity != stored {
		return 0, eris.Errorf("data folder %s holds the storage of another folder: start with an empty folder to join again",
			filepath.Dir(path))
	}
	return stored, nil
}

func initIdentity(store kv.Store, path string, options *Options) (uint64, error) {
	identity, err := newIdentity()
	if err != nil {
		return 0, err
	}
	mark := filepath.Join(options.Folder, watermarkFileName)
	if err := os.Remove(mark); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, eris.Wrapf(err, "remove watermark file %s", mark)
	}
	file := identityFile{ReplicaID: options.ID, Group: options.Group, Identity: identity}
	if err := file.write(path); err != nil {
		return 0, err
	}
	return identity, saveIdentity(store, identity)
}

func saveIdentity(store kv.Store, identity uint64) error {
	batch := store.NewBatch()
	setNumber(batch, keyIdentity, identity)
	return store.Commit(batch, true)
}

// write creates the file, syncs it and its folder.
func (f identityFile) write(path string) error {
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "create identity file %s", path)
	}
	err = f.writeContents(file, temporary)
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err == nil {
		err = durable.SyncFolder(filepath.Dir(path))
	}
	return eris.Wrapf(err, "write identity file %s", path)
}

func (f identityFile) writeContents(file *os.File, path string) error {
	inode, err := inodeNumber(path)
	if err != nil {
		return err
	}
	f.Inode = inode
	raw, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	if _, err := file.Write(append(raw, '\n')); err != nil {
		return err
	}
	return file.Sync()
}

func inodeNumber(path string) (uint64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, eris.Wrapf(err, "stat %s", path)
	}
	return info.Sys().(*syscall.Stat_t).Ino, nil
}
