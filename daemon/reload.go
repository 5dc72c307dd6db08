package daemon

import (
	"os"
	"sync"
	"time"
)

// reloaded is a value that files hold. It is read again when a file has
// changed; the last good value stays when the new files are damaged.
type reloaded[T any] struct {
	mu       sync.Mutex
	value    *T
	modified time.Time
}

// get returns the value as the files stand, or nil when they have never been
// good.
func (r *reloaded[T]) get(load func() (*T, error), files ...string) *T {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := latestChange(files)
	if r.value != nil && latest.Equal(r.modified) {
		return r.value
	}
	if value, err := load(); err == nil {
		r.value = value
		r.modified = latest
	}
	return r.value
}

// latestChange returns the time of the latest change of some files.
func latestChange(files []string) time.Time {
	var latest time.Time
	for _, file := range files {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}
