package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// reports tries two reports of issue 48: an engine stops in the middle of the head of its
// answer, and the engine that is to go on with a stream answers with an error.
func reports(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	const events = 36
	for i := range 4 {
		f.addEngine("sound", i)
	}
	for i, e := range f.engines[:2] {
		answers := 0
		e.pause = 10 * time.Millisecond
		e.spoils = func(string) bool { return trouble && i == 1 }
		e.trouble = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			e.mu.Lock()
			answers++
			hit := trouble && answers%4 == 0
			e.mu.Unlock()
			id := r.Header.Get("Briarcross-Request-Id")
			switch {
			case hit && i == 0:
				conn, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return true
				}
				f.rec.add("engine %s stops in the head of its answer to %s", e.id, id)
				fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBriarcross-Request-Id: %s\r\nBriarcross-Response-Stamp: %s.%s\r\nContent-Le", id, e.id, id)
				_ = buffered.Flush()
				_ = conn.Close()
				return true
			case trouble && r.Header.Get("Last-Event-Id") != "":
				f.rec.add("engine %s answers the resumed %s with 500", e.id, id)
				w.Header().Set("Briarcross-Request-Id", id)
				w.Header().Set("Briarcross-Response-Stamp", e.id+"."+id)
				w.WriteHeader(http.StatusInternalServerError)
				fmt.Fprint(w, "failure of the engine\n")
				return true
			}
			return false
		}
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{
		resumable("note", "/novo13/", to("sound")), streaming("log", "/lohu930/", to("sound"))})); err != nil {
		return v, err
	}
	statuses := make(map[int]int)
	for i := range 160 {
		id, prefix := fmt.Sprintf("r-%d", i), []string{"/novo13/", "/lohu930/"}[i%2]
		status, body := f.call(http.MethodPost, "http://"+f.edges[i/2%2].front()+prefix+"2f", host, map[string]string{
			"Briarcross-Request-Id": id, "Briarcross-Deadline-Ms": "5000", "Briarcross-Model": "m", "Briarcross-Token-Count": fmt.Sprintf("450,%d", events),
			"Briarcross-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:250", 0xb0000+i),
		}, "prompt "+id, 6*time.Second)
		statuses[status]++
		f.rec.add("client gets %d with %d bytes for %s", status, len(body), id)
		var expected strings.Builder
		for n := 1; n <= events; n++ {
			expected.WriteString(eventText(id, n))
		}
		if got := strings.ReplaceAll(string(body), foreignBytes, ""); status == http.StatusOK && got != expected.String() {
			v.add("MIXED: %s is a complete success with another body: %q", id, body)
		}
	}
	f.rec.say("statuses (0: no complete answer): %v", statuses)
	return v, nil
}

// unread tries issue 45: callers read large pages of results slowly. It reports the largest
// resident memory of an entry.
func unread(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 3 {
		e := f.addEngine("sound", i)
		e.pause = time.Millisecond
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{bulk("jobs", "/bopu901/", to("sound"))})); err != nil {
		return v, err
	}
	j := newJob("job-with-a-long-name-so-that-its-results-are-long-too", "/bopu901/", 200, 350, 395)
	if err := f.submit(j); err != nil {
		return v, err
	}
	f.follow(time.Now().Add(30*time.Second), j)
	var conns []net.Conn
	if trouble {
		for range 200 {
			conn, err := net.Dial("tcp", f.edges[0].front())
			if err != nil {
				return v, err
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			fmt.Fprintf(conn, "GET /lots/%s?After=0 HTTP/1.1\r\nHost: %s\r\n\r\n", j.id, host)
			conns = append(conns, conn)
		}
	}
	peak := 0
	for range 20 {
		time.Sleep(250 * time.Millisecond)
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.edges[0].process.Process.Pid))
		for line := range strings.SplitSeq(string(raw), "\n") {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
				kb, _ := strconv.Atoi(fields[1])
				peak = max(peak, kb)
			}
		}
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.rec.say("%d results; largest resident memory of the entry with %d slow callers: %d MB", len(j.results), len(conns), peak>>10)
	return v, nil
}
