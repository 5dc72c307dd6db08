package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// versions starts six engines again one after the other, each under the ID that it had and with
// the next version of its software, while clients send streams that may be resumed.
func versions(d *deployment) bool {
	const downTime = 500 * time.Millisecond
	d.start(6)
	for _, e := range d.engines {
		e.events, e.gap = 36, 40*time.Millisecond
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var done []*stream
	for client := range 40 {
		tasks.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				s := d.runStream(fmt.Sprintf("9c41%04x%06x", client, n), "/note/2f/"+strconv.Itoa(n), client)
				mu.Lock()
				done = append(done, s)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for _, e := range d.engines {
		time.Sleep(4 * time.Second)
		if trouble {
			d.record.line("engine %s with version %s crashes", e.id, e.version)
			e.crash()
			time.Sleep(downTime)
			e.startAgain("v2")
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	tasks.Wait()
	mixed, complete := 0, 0
	for _, s := range done {
		second := 0
		for _, event := range s.events {
			if strings.HasSuffix(event, " v2") {
				second++
			}
		}
		if s.complete {
			complete++
		}
		if second > 0 && second < len(s.events) {
			mixed++
			d.record.line("stream %s: %d events of v1, %d of v2; its tries: %s", s.id, len(s.events)-second, second, strings.Join(s.answers, ", "))
		} else if len(s.answers) > 1 {
			d.record.line("stream %s: %d events of one version; its tries: %s", s.id, len(s.events), strings.Join(s.answers, ", "))
		}
	}
	d.record.line("%d streams, %d complete, %d with events of two versions", len(done), complete, mixed)
	return mixed > 2
}
