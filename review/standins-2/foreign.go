package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

// foreign has another writer send heartbeats with fields missing for the addresses of the engines,
// and kills all processes of the core at one moment.
func foreign(d *deployment) bool {
	d.start(3)
	var items []string
	for i := range 10 {
		items = append(items, fmt.Sprintf("a0b1c2d3e4f5%04x", i))
	}
	if !d.submit("7c41e09b52d6a3f8", items, 300, 20*time.Second) || len(d.readAll("7c41e09b52d6a3f8", len(items), 20*time.Second)) != len(items) {
		fail("the first job was not done")
	}
	var mu sync.Mutex
	lastRun := time.Now()
	reached := 0
	for _, e := range d.engines {
		e.reached = func() { mu.Lock(); lastRun = time.Now(); reached++; mu.Unlock() }
	}
	if trouble {
		stop := make(chan struct{})
		var tasks sync.WaitGroup
		for i, e := range d.engines {
			tasks.Go(func() { d.writeForeign(fmt.Sprintf("agent-%d", i), e, stop) })
		}
		time.Sleep(5 * time.Second)
		for _, n := range d.controls {
			d.signal(n, syscall.SIGKILL)
		}
		for _, n := range d.controls {
			<-n.exited
		}
		time.Sleep(300 * time.Millisecond)
		for _, n := range d.controls {
			d.startDaemon(n, false)
		}
		d.record.line("all processes of the core are started again")
		time.Sleep(2 * time.Second)
		close(stop)
		tasks.Wait()
		d.record.line("the other writer has stopped")
	}
	time.Sleep(6 * time.Second)
	for i := range items {
		items[i] = fmt.Sprintf("b0b1c2d3e4f5%04x", i)
	}
	served := 0
	for i := range 10 {
		if s := d.runStream(fmt.Sprintf("9c410000%06x", i), "/note/2f/1", i); s.complete {
			served++
		} else {
			d.record.line("stream %s: %s", s.id, strings.Join(s.answers, ", "))
		}
	}
	d.record.line("%d of 10 streams served", served)
	if !d.submit("7c41e09b52d6a3f9", items, 300, 20*time.Second) {
		fail("the second job was not accepted")
	}
	// FinishS is 18.
	done := d.readAll("7c41e09b52d6a3f9", len(items), 20*time.Second)
	mu.Lock()
	defer mu.Unlock()
	d.record.line("the second job has %d of %d results; %d requests reached an engine since the first job, the last one %.1f s ago", len(done), len(items), reached, time.Since(lastRun).Seconds())
	return len(done) < len(items) && time.Since(lastRun) > 5*time.Second
}

// writeForeign sends heartbeats without Seq, Version and ColdLeftMs to the control daemons in turn.
func (d *deployment) writeForeign(id string, e *engine, stop chan struct{}) {
	born := time.Now().UnixMilli()
	for n := 0; ; n++ {
		body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Slots":8,"State":"ready","born":%d}`, serviceName, e.address, e.zone, born)
		seed := d.seeds()[n%3]
		response, err := beatClient.Post("http://"+seed+"/Instances.Heartbeat/"+id, "application/json", strings.NewReader(body))
		answer := "no answer"
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			answer = response.Status
		}
		d.record.line("heartbeat of %s for %s to %s: %s", id, e.address, seed, answer)
		select {
		case <-stop:
			return
		case <-time.After(foreignInterval):
		}
	}
}

// foreignInterval is the interval of the other writer.
const foreignInterval = 300 * time.Millisecond
