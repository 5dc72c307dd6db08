package daemon

import (
	"os"
	"sync"
	"time"
)

// fileValue is a value that files hold. It is read again when a file has
// changed; the last good value stays when the new files are damaged.
type fileValue[T any] struct {
	mu      sync.Mutex
	value   *T
	modTime time.Time
}

// get returns the value as the files stand, or nil when they have never been
// good.
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

// latestModTime returns the time of the latest change of some files.
func latestModTime(files []string) time.Time {
	var latest time.Time
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
