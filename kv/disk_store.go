package kv

import (
	"errors"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rotisserie/eris"
)

const (
	diskCacheBytes    = 4 << 20
	diskMemtableBytes = 4 << 20
)

// DiskStore is a Store that keeps its data in one folder. It is safe for concurrent
// use.
type DiskStore struct {
	diskView
	db *pebble.DB
}

type diskView struct {
	reader pebble.Reader
}

// OpenDiskStore opens or creates a store. It discards an incomplete last write of
// an earlier process; other damage is an error that names the file. If fs is nil,
// it uses the file system of the operating system.
func OpenDiskStore(folder string, fs vfs.FS) (*DiskStore, error) {
	return openDisk(folder, fs, false)
}

// OpenDiskStoreReadOnly opens an existing store without changing its files.
func OpenDiskStoreReadOnly(folder string) (*DiskStore, error) {
	return openDisk(folder, nil, true)
}

func openDisk(folder string, fs vfs.FS, readOnly bool) (*DiskStore, error) {
	if fs == nil {
		fs = vfs.Default
	}
	cache := pebble.NewCache(diskCacheBytes)
	defer cache.Unref()
	options := &pebble.Options{
		FS:           fs,
		Cache:        cache,
		MemTableSize: diskMemtableBytes,
		Logger:       quietLogger{},
		ReadOnly:     readOnly,
	}
	db, err := pebble.Open(folder, options)
	if err != nil {
		return nil, eris.Wrapf(err, "open storage folder %s", folder)
	}
	return &DiskStore{diskView{db}, db}, nil
}

// Get implements Reader.
func (v diskView) Get(key []byte) ([]byte, bool) {
	value, closer, err := v.reader.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false
	}
	if err != nil {
		panic(StorageError{err})
	}
	owned := append([]byte(nil), value...)
	if err := closer.Close(); err != nil {
		panic(StorageError{err})
	}
	return owned, true
}

// Scan implements Reader.
func (v diskView) Scan(from, to []byte, visit func(key, value []byte) bool) {
	iter, err := v.reader.NewIter(&pebble.IterOptions{LowerBound: from, UpperBound: to})
	if err != nil {
		panic(StorageError{err})
	}
	for ok := iter.First(); ok; ok = iter.Next() {
		if !visit(iter.Key(), iter.Value()) {
			break
		}
	}
	if err := iter.Close(); err != nil {
		panic(StorageError{err})
	}
}

type diskBatch struct {
	diskView
	batch *pebble.Batch
}

// NewBatch implements Store.
func (d *DiskStore) NewBatch() Batch {
	batch := d.db.NewIndexedBatch()
	return &diskBatch{diskView{batch}, batch}
}

func panicOnError(err error) {
	if err != nil {
		panic(StorageError{err})
	}
}

// Set implements Batch.
func (b *diskBatch) Set(key, value []byte) {
	panicOnError(b.batch.Set(key, value, nil))
}

// Delete implements Batch.
func (b *diskBatch) Delete(key []byte) {
	panicOnError(b.batch.Delete(key, nil))
}

// DeleteRange implements Batch.
func (b *diskBatch) DeleteRange(from, to []byte) {
	panicOnError(b.batch.DeleteRange(from, to, nil))
}

// Commit implements Store.
func (d *DiskStore) Commit(batch Batch, sync bool) error {
	writes := batch.(*diskBatch).batch
	defer func() { _ = writes.Close() }()
	options := pebble.NoSync
	if sync {
		options = pebble.Sync
	}
	return eris.Wrap(writes.Commit(options), "commit batch to storage")
}

type diskSnapshot struct {
	diskView
	snapshot *pebble.Snapshot
}

// Snapshot implements Store.
func (d *DiskStore) Snapshot() Snapshot {
	snapshot := d.db.NewSnapshot()
	return &diskSnapshot{diskView{snapshot}, snapshot}
}

// Close implements Snapshot.
func (s *diskSnapshot) Close() {
	panicOnError(s.snapshot.Close())
}

// Close implements Store.
func (d *DiskStore) Close() error {
	return eris.Wrap(d.db.Close(), "close storage")
}

// quietLogger discards Pebble's information and error messages, and panics on a
// fatal one.
type quietLogger struct{}

func (quietLogger) Infof(string, ...any) {}

func (quietLogger) Errorf(string, ...any) {}

func (quietLogger) Fatalf(format string, args ...any) {
	panic(StorageError{eris.Errorf(format, args...)})
}
