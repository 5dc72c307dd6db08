// Package durable replaces small files atomically: after a power loss a file has
// either its old or its new content.
package durable

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const fileMode = 0o600

// WriteFile replaces the content of a file and returns once the file and its
// name are synced to disk.
func WriteFile(path string, content []byte) error {
	tempPath := path + ".new"
	file, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "create %s", tempPath)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err == nil {
		err = SyncDir(filepath.Dir(path))
	}
	return eris.Wrapf(err, "write %s", path)
}

// SyncDir syncs a directory, which makes the names of its files durable.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
