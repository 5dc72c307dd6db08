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

// identityFile identifies the replica that owns a data folder. Inode is the
// inode number of the file itself; a copy of the file has another one.
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
			return 0, eris.Wrap(err, "generate random identity")
		}
		if identity := binary.BigEndian.Uint64(raw[:]); identity != 0 {
			return identity, nil
		}
	}
}

// openFolder opens the store of a data folder and returns it with the folder's
// identity. An empty store gets a new identity.
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
	// Makes the directory entry of a new store survive a power loss.
	if err := durable.SyncDir(options.Folder); err != nil {
		return nil, 0, errors.Join(err, store.Close())
	}
	identity, err := verifyOrInitIdentity(store, file, path, options)
	if err != nil {
		return nil, 0, errors.Join(err, store.Close())
	}
	return store, identity, nil
}

// readIdentity reads the identity file, or returns nil if there is none.
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

// checkNotCopied returns an error if the inode number of the identity file
// shows that it was copied.
func (f *identityFile) checkNotCopied(path string, options *Options) error {
	if f == nil || options.UnstableInodes {
		return nil
	}
	inode, err := inodeNumber(path)
	if err != nil {
		return err
	}
	if inode != f.Inode {
		return eris.Errorf("data folder %s is a copy: its identity file has another inode number; use an empty folder to join the group again", filepath.Dir(path))
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

// verifyOrInitIdentity checks that the identity file matches the store and
// returns the identity. If the store has none, it creates one.
func verifyOrInitIdentity(store kv.Store, file *identityFile, path string, options *Options) (uint64, error) {
	identity, err := readNumber(store, keyIdentity)
	if err != nil {
		return 0, err
	}
	if identity == 0 {
		return initIdentity(store, path, options)
	}
	if file == nil {
		return 0, eris.Errorf("data folder %s has no identity file: use an empty folder to join the group again", filepath.Dir(path))
	}
	if file.Identity != identity {
		return 0, eris.Errorf("data folder %s holds the store of another folder: use an empty folder to join the group again",
			filepath.Dir(path))
	}
	return identity, nil
}

func initIdentity(store kv.Store, path string, options *Options) (uint64, error) {
	identity, err := newIdentity()
	if err != nil {
		return 0, err
	}
	watermarkPath := filepath.Join(options.Folder, watermarkFileName)
	if err := os.Remove(watermarkPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, eris.Wrapf(err, "remove watermark file %s", watermarkPath)
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

// write replaces the file atomically and syncs it and its folder.
func (f identityFile) write(path string) error {
	temporaryPath := path + ".new"
	file, err := os.OpenFile(temporaryPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "create identity file %s", path)
	}
	err = f.writeContents(file, temporaryPath)
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(temporaryPath, path)
	}
	if err == nil {
		err = durable.SyncDir(filepath.Dir(path))
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
