package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopping: callers send one stream after the other on connections that they keep, as long as
// the entry doesn't close them, while the entry is told to stop. No request that came later
// than 3 s after the signal and was passed on may be cut off.
func stopping(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 6 {
		f.addEngine("sound", i)
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{streaming("log", "/lohu930/", to("sound"))})); err != nil {
		return v, err
	}
	edge := f.edges[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var stoppedAt time.Time
	type cut struct {
		id string
		at time.Time
	}
	var cuts []cut
	answered, refused, late := 0, 0, 0
	for caller := range 24 {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("late-%d-%d", caller, i)
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.front()+"/lohu930/2f", strings.NewReader("prompt "+id))
				if err != nil {
					return
				}
				request.Host = host
				events := 20 + (caller*7+i*13)%150
				for name, value := range map[string]string{
					"Briarcross-Request-Id": id, "Briarcross-Deadline-Ms": "5000", "Briarcross-Model": "m", "Briarcross-Token-Count": fmt.Sprintf("450,%d", events),
					"Briarcross-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:250", 0xf0000+caller*1000+i),
				} {
					request.Header.Set(name, value)
				}
				sent := time.Now()
				response, err := client.Do(request)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				mu.Lock()
				afterStop := !stoppedAt.IsZero() && sent.After(stoppedAt.Add(3*time.Second))
				switch {
				case err != nil && !stoppedAt.IsZero():
					cuts = append(cuts, cut{id, sent})
				case err == nil && response.StatusCode == http.StatusOK:
					answered++
				case err == nil:
					refused++
				}
				if afterStop && err == nil {
					late++
				}
				mu.Unlock()
				if err != nil {
					f.rec.add("%s: %v", id, err)
					if strings.Contains(err.Error(), "refused") {
						return
					}
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	stoppedAt = time.Now()
	mu.Unlock()
	f.rec.say("%s is told to stop", edge.name)
	_ = edge.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-edge.exited:
	case <-time.After(stopTimeout):
		v.add("%s still runs at the end of GraceS", edge.name)
	}
	f.rec.say("%s has ended after %.1f s", edge.name, time.Since(stoppedAt).Seconds())
	cancel()
	wg.Wait()
	passedOn := make(map[string]time.Time)
	for _, e := range f.engines {
		for _, a := range e.arrivals {
			passedOn[a.request] = a.at
		}
	}
	for _, c := range cuts {
		if at, reached := passedOn[c.id]; reached && c.at.After(stoppedAt.Add(3*time.Second)) {
			v.add("LOST: %s came %.1f s after the signal to stop, reached an engine %.1f s after it, and was cut off", c.id, c.at.Sub(stoppedAt).Seconds(), at.Sub(stoppedAt).Seconds())
		}
	}
	f.rec.say("%d answered, %d refused, %d cut off or not connected; %d answers to requests that came later than 3 s after the signal", answered, refused, len(cuts), late)
	return v, nil
}
