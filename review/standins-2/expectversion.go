package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// expectVersion hands in an item that names a version of the weights that no engine has, and then a
// sound job.
func expectVersion(d *deployment) bool {
	d.start(6)
	var items []string
	for i := range 90 {
		items = append(items, fmt.Sprintf("a0b1c2d3e4f5%04x", i))
	}
	if !d.submit("7c41e09b52d6a3f8", items, 300, 20*time.Second) || len(d.readAll("7c41e09b52d6a3f8", len(items), 20*time.Second)) != len(items) {
		fail("the first job was not done")
	}
	var mu sync.Mutex
	lastSound := time.Now()
	sound, refused := 0, 0
	for _, e := range d.engines {
		e.answer = func(c *engineConn, r *http.Request, _ []byte, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("Briarcross-Request-Id")
			if version := r.Header.Get("Briarcross-Expect-Version"); version != "" && version != "1" {
				refused++
				d.record.line("engine %s answers item %s with 421: its weights have version 1, not %s", e.id, id, version)
				_, _ = c.Write(notRun(id, 421))
				return true
			}
			sound++
			lastSound = time.Now()
			return false
		}
	}
	if trouble {
		itemHeaders["Briarcross-Expect-Version"] = "2"
		if !d.submit("7c41e09b52d6a3f7", []string{"c0b1c2d3e4f50000"}, 300, 10*time.Second) {
			fail("the job that can never be done was not accepted")
		}
		delete(itemHeaders, "Briarcross-Expect-Version")
		time.Sleep(3 * time.Second)
	}
	items = items[:10]
	for i := range items {
		items[i] = fmt.Sprintf("b0b1c2d3e4f5%04x", i)
	}
	if !d.submit("7c41e09b52d6a3f9", items, 300, 20*time.Second) {
		fail("the sound job was not accepted")
	}
	// FinishS is 18.
	done := d.readAll("7c41e09b52d6a3f9", len(items), 20*time.Second)
	mu.Lock()
	defer mu.Unlock()
	d.record.line("the sound job has %d of %d results; %d sound runs since the first job, the last one %.1f s ago; %d answers of 421",
		len(done), len(items), sound, time.Since(lastSound).Seconds(), refused)
	return len(done) < len(items) && time.Since(lastSound) > 5*time.Second
}
