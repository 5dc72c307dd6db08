package daemon

import (
	"os"
	"sync"
	"time"
)

// fileValue is a value loaded from files. It is loaded again when the latest
// modification time of the files changes. If that fails, the last valid value
// is kept.
type fileValue[T any] struct {
	mu      sync.Mutex
	value   *T
	modTime time.Time
}

// get returns the value of the current files or, if they are invalid, the last
// valid value. It returns nil if no valid value was ever loaded.
func (r *fileValue[T]) get(load func() (*T, error), files ...string) *T {
	r.mu.Lock()
	defer r.mu.Unlock()
	modTime := latestModTime(files)
	if r.value != nil && modTime.Equal(r.modTime) {
		return r.value
	}
	if value, err := load(); err == nil {
		r.value = value
		r.modTime = modTime
	}
	return r.value
}

// latestModTime returns the latest modification time of some files.
func latestModTime(files []string) time.Time {
	var latest time.Time
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
