package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// read streams until its end, an error, or a gap of two seconds. It returns the number of
// the last whole event and whether the stream is complete.
func (f *fleet) readStream(edge *machine, id string, after int, resumes string, events int, deadline time.Time) (status, last int, complete bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	gap := time.AfterFunc(2*time.Second, cancel)
	defer gap.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.front()+"/novo13/2f", strings.NewReader("prompt"))
	if err != nil {
		return 0, after, false
	}
	request.Host = host
	request.Header.Set("Briarcross-Request-Id", id)
	request.Header.Set("Briarcross-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("Briarcross-Model", "m")
	request.Header.Set("Briarcross-Token-Count", fmt.Sprintf("450,%d", events))
	request.Header.Set("Briarcross-Prompt-Prefix", "5c1e07a2:200,b0001:250")
	if resumes != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(after))
		request.Header.Set("Resumes", resumes)
	}
	f.rec.add("client sends %s to %s after %d resuming %q", id, edge.name, after, resumes)
	response, err := f.client.Do(request)
	if err != nil {
		return 0, after, false
	}
	defer response.Body.Close()
	last = after
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if number, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			last, _ = strconv.Atoi(number)
			gap.Reset(2 * time.Second)
		}
	}
	return response.StatusCode, last, scanner.Err() == nil && last == events
}

// takeup: streams begin while one software version serves; their entry freezes, and engines
// of a second version join before the callers take the streams up at another entry.
func takeup(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	const streams, events = 20, 120
	for i := range 6 {
		e := f.addEngine("sound", i)
		e.pause = 30 * time.Millisecond
	}
	newer := f.engines[4:]
	for _, e := range newer {
		e.version = "v2"
	}
	f.engines = f.engines[:4]
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{resumable("note", "/novo13/", to("sound"))})); err != nil {
		return v, err
	}
	f.engines = append(f.engines, newer...)
	var wg sync.WaitGroup
	var mu sync.Mutex
	takeups, goneOn, begun, newStreams := 0, 0, 0, 0
	for i := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("note-%d", i)
			deadline := time.Now().Add(5 * time.Second)
			status, last, complete := f.readStream(f.edges[0], id, 0, "", events, deadline)
			f.rec.add("%s: %d, up to event %d, complete %v", id, status, last, complete)
			if complete || last == 0 {
				return
			}
			status, after, _ := f.readStream(f.edges[1], id+"-again", last, id, events, deadline)
			f.rec.add("take-up of %s: %d, from event %d to %d", id, status, last, after)
			mu.Lock()
			defer mu.Unlock()
			takeups++
			if after > last {
				goneOn++
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	frozen := f.edges[0].process.Process
	if trouble {
		f.rec.say("%s freezes for 5 s", f.edges[0].name)
		_ = frozen.Signal(syscall.SIGSTOP)
		time.AfterFunc(5*time.Second, func() { _ = frozen.Signal(syscall.SIGCONT) })
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range newer {
		if err := e.start(); err != nil {
			return v, err
		}
	}
	f.rec.say("two engines of a second software version join")
	time.Sleep(1200 * time.Millisecond)
	for i := range 16 {
		wg.Go(func() {
			id := fmt.Sprintf("new-%d", i)
			status, last, _ := f.readStream(f.edges[1], id, 0, "", 30, time.Now().Add(5*time.Second))
			f.rec.add("%s: %d, up to event %d", id, status, last)
			mu.Lock()
			defer mu.Unlock()
			newStreams++
			if last > 0 {
				begun++
			}
		})
		time.Sleep(80 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	f.rec.say("%d of %d take-ups went on; %d of %d new streams began", goneOn, takeups, begun, newStreams)
	if takeups >= 12 && float64(goneOn)/float64(takeups) < 0.5*float64(begun)/float64(newStreams) {
		v.add("LOST: %d of %d streams that clients took up again went on, and %d of %d new streams began", goneOn, takeups, begun, newStreams)
	}
	return v, nil
}
