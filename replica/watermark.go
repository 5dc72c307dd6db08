package replica

import (
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/briarcross/briarcross/kv"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2/record"
	"github.com/rotisserie/eris"
)

const (
	watermarkFileName = "synced"
	watermarkBytes    = 16
)

// watermark is a file beside the store that holds the number of the last synced
// write. The store silently ends the replay of its own log at damaged bytes, as
// at a torn last write. If the last write in the store is older than the
// watermark, synced writes were lost. The file itself is not synced, so it may
// lag behind after a power loss.
type watermark struct {
	file *os.File
}

func openWatermark(folder string) (*watermark, error) {
	path := filepath.Join(folder, watermarkFileName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "open watermark file %s", path)
	}
	return &watermark{file}, nil
}

func (w *watermark) write(number uint64) error {
	raw := encodeNumbers(number)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw))
	_, err := w.file.WriteAt(raw, 0)
	return eris.Wrap(err, "write watermark file")
}

func (w *watermark) close() error {
	return w.file.Close()
}

// readWatermark returns the number in the watermark file. It returns zero if
// there is no file, or if the file is damaged: it is not synced, so a power loss
// may tear it.
func readWatermark(folder string) (uint64, error) {
	path := filepath.Join(folder, watermarkFileName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && len(raw) == 0 {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrapf(err, "read watermark file %s", path)
	}
	if len(raw) != watermarkBytes || binary.BigEndian.Uint64(raw[8:]) != xxhash.Sum64(raw[:8]) {
		return 0, nil
	}
	return binary.BigEndian.Uint64(raw), nil
}

// checkSyncedWrites returns an error if the store has lost synced writes. It
// changes nothing in the folder.
func checkSyncedWrites(folder string) error {
	syncedWrite, err := readWatermark(folder)
	if err != nil || syncedWrite == 0 {
		return err
	}
	storePath := filepath.Join(folder, storeFolderName)
	files, err := filepath.Glob(filepath.Join(storePath, "*"))
	if err != nil || len(files) == 0 {
		return err
	}
	lastWrite, err := lastWriteNumber(storePath)
	if err != nil || lastWrite >= syncedWrite {
		return err
	}
	return eris.Errorf("storage lost synced writes: it ends at write %d of %d; %s", lastWrite, syncedWrite, describeDamage(storePath))
}

// lastWriteNumber returns the number of the last write in a store.
func lastWriteNumber(storePath string) (number uint64, err error) {
	defer recoverStorageError(func(storageErr error) { err = storageErr })
	store, err := kv.OpenDiskStoreReadOnly(storePath)
	if err != nil {
		return 0, err
	}
	number, err = readNumber(store, keyWrites)
	return number, errors.Join(err, store.Close())
}

// describeDamage describes the damage in the log files of a store.
func describeDamage(storePath string) string {
	logs, err := filepath.Glob(filepath.Join(storePath, "*.log"))
	if err != nil {
		return err.Error()
	}
	damage := "no damaged log file found"
	for _, path := range logs {
		offset, err := validLength(path)
		if err != nil {
			damage = eris.Errorf("file %s is damaged at offset %d: %v", path, offset, err).Error()
		}
	}
	return damage
}

// newLogReader calls create with the file number converted to N. It lets the
// compiler infer N, a type of an internal package of pebble.
func newLogReader[N ~uint64](create func(io.Reader, N) *record.Reader, file io.Reader, number uint64) *record.Reader {
	return create(file, N(number))
}

// validLength returns the offset at which the valid records of a log file end,
// and the error met there unless it is the end of the file.
func validLength(path string) (int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	number, err := strconv.ParseUint(strings.TrimSuffix(filepath.Base(path), ".log"), 10, 64)
	if err != nil {
		return 0, err
	}
	reader := newLogReader(record.NewReader, file, number)
	for {
		offset := reader.Offset()
		next, err := reader.Next()
		if err == nil {
			_, err = io.Copy(io.Discard, next)
		}
		if errors.Is(err, io.EOF) {
			return offset, nil
		}
		if err != nil {
			return offset, err
		}
	}
}
