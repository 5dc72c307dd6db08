// Package durable replaces small files so that a power loss leaves either the
// old content or the new one.
package durable

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const fileMode = 0o600

// WriteFile replaces a file's content and returns once it is synced.
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

// SyncDir makes the names in a folder durable.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
