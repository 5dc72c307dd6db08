package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// late500 hands in items that fail at their first two runs and succeed at the third. One engine
// writes one of its failures a second time, late, where its next response is expected.
func late500(d *deployment) bool {
	const failing = "e5b2907c14da6f38"
	var mu sync.Mutex
	failures, answers, copied := 0, 0, false
	d.start(2)
	for _, e := range d.engines {
		e.answer = func(c *engineConn, r *http.Request, _ []byte, run int) bool {
			id := r.Header.Get("Briarcross-Request-Id")
			mu.Lock()
			defer mu.Unlock()
			if e == d.engines[0] {
				answers++
			}
			if id != failing {
				return false
			}
			if run > 2 {
				d.record.line("engine %s, connection %d, run %d of item %s: answered 200", e.id, c.number, run, id)
				return false
			}
			failures++
			d.record.line("engine %s, connection %d, run %d of item %s: answered 500", e.id, c.number, run, id)
			response := e.whole(id, 500, "failed\n")
			_, _ = c.Write(response)
			if trouble && !copied {
				copied = true
				c.pending = response
				d.record.line("engine %s will write that answer once more on connection %d", e.id, c.number)
			}
			return true
		}
	}
	// Sound work first: the copy is one of many answers.
	var sound []string
	for i := range 80 {
		sound = append(sound, fmt.Sprintf("a0b1c2d3e4f5%04x", i))
	}
	if !d.submit("7c41e09b52d6a3f8", sound, 300, 20*time.Second) {
		fail("the sound job was not accepted")
	}
	if done := d.readAll("7c41e09b52d6a3f8", len(sound), 40*time.Second); len(done) != len(sound) {
		fail("the sound job has %d results", len(done))
	}
	if !d.submit("7c41e09b52d6a3f9", []string{failing}, 300, 10*time.Second) {
		fail("the job was not accepted")
	}
	done := d.readAll("7c41e09b52d6a3f9", 1, 30*time.Second)
	mu.Lock()
	defer mu.Unlock()
	d.record.line("item %s: %d answers of 500 were made, Attempts is %d; engine 0 made %d answers in all", failing, failures, d.attempts, answers)
	if len(done) != 1 {
		fail("the job has no result")
	}
	if done[0].State == "completed" {
		return strings.TrimSpace(done[0].Text) != d.output(failing, d.engines[0].events)
	}
	return failures < d.attempts
}
