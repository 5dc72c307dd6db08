package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model engine. It serves one request at a time on a connection.
type engine struct {
	d        *deployment
	id       string
	address  string
	listener net.Listener
	gap      time.Duration
	events   int
	// answer, unless nil, may take a request over. It returns false to leave it to the engine.
	answer func(c *engineConn, r *http.Request, body []byte, run int) bool
	// reached, unless nil, is called for each request that the engine gets.
	reached func()
	zone    string
	mu      sync.Mutex
	seq     int
	state   string
	// version is that of its software, born the Unix millisecond of its start. Without born, its
	// heartbeats state none.
	version string
	born    int64
	down    bool
	conns   map[net.Conn]bool
	closed  chan struct{}
}

// engineConn is one connection to an engine.
type engineConn struct {
	net.Conn
	e *engine
	// number counts the connections of the engine.
	number int
	// pending is what a faulty engine writes before its next response.
	pending []byte
}

// runs counts the runs of each request ID at all engines.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

var runs = runCounter{runs: make(map[string]int)}

func (r *runCounter) next(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	return r.runs[id]
}

func newEngine(d *deployment, i int) *engine {
	e := &engine{
		d: d, id: fmt.Sprintf("i-7f3a91c%d", i), address: fmt.Sprintf("%s:%d", d.ip(100+i), enginePort),
		gap: 8 * time.Millisecond, events: 12, zone: zone(i), state: "ready", version: "v1", born: time.Now().UnixMilli(),
		conns: make(map[net.Conn]bool), closed: make(chan struct{}),
	}
	e.listen()
	go e.beat()
	return e
}

func (e *engine) listen() {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fail("engine: %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.down = listener, false
	go e.serve(listener)
}

// crash ends the engine at once: its connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// startAgain starts the engine under the ID that it had, with a version of its software. It
// listens once its first heartbeat is acknowledged.
func (e *engine) startAgain(version string) {
	e.mu.Lock()
	e.version, e.seq, e.born = version, 0, time.Now().UnixMilli()
	e.mu.Unlock()
	for i := 0; !e.sendBeat(i); i++ {
		time.Sleep(20 * time.Millisecond)
	}
	e.d.record.line("engine %s is back with version %s; its heartbeat is acknowledged", e.id, version)
	e.listen()
}

func (e *engine) stop() {
	close(e.closed)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// sendBeat sends a heartbeat to a control daemon and reports whether it is acknowledged.
func (e *engine) sendBeat(target int) bool {
	seeds := e.d.seeds()
	e.mu.Lock()
	e.seq++
	body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":%q,"Slots":8,"State":%q,"ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":%d,"born":%d}`,
		serviceName, e.address, e.zone, e.version, e.state, e.seq, e.born)
	e.mu.Unlock()
	response, err := beatClient.Post("http://"+seeds[target%len(seeds)]+"/Instances.Heartbeat/"+e.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// beat sends heartbeats to a control daemon, to the next one after a failure.
func (e *engine) beat() {
	target := 0
	for {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		for tries := 0; !down && tries < 3 && !e.sendBeat(target); tries++ {
			target++
		}
		select {
		case <-e.closed:
			return
		case <-time.After(beatMs * time.Millisecond):
		}
	}
}

func (e *engine) serve(listener net.Listener) {
	for number := 1; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serveConn(&engineConn{Conn: conn, e: e, number: number})
	}
}

func (e *engine) serveConn(c *engineConn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c.Conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(c.pending) > 0 {
			if _, err := c.Write(c.pending); err != nil {
				return
			}
			c.pending = nil
		}
		if !e.handle(c, r, body) {
			return
		}
	}
}

// head returns the head of an answer of the engine.
func (e *engine) head(id string, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nBriarcross-Request-Id: %s\r\nBriarcross-Response-Stamp: %s.%s\r\nBriarcross-Weight-Versions: 1\r\n%s",
		status, http.StatusText(status), id, e.id, id, more)
}

// whole returns an answer with a length.
func (e *engine) whole(id string, status int, body string) []byte {
	return []byte(e.head(id, status, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
}

// notRun returns the answer of an engine that has not run the request.
func notRun(id string, status int) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nBriarcross-Request-Id: %s\r\nBriarcross-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id))
}

// mark is what the version writes besides: nothing for the first one.
func (e *engine) mark() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == "v1" {
		return ""
	}
	return " " + e.version
}

func eventText(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// output is the whole output of an item.
func (d *deployment) output(id string, events int) string {
	var all []string
	for n := 1; n <= events; n++ {
		all = append(all, eventText(id, n))
	}
	return strings.Join(all, "\n")
}

// handle answers one request. It returns false if the connection ends.
func (e *engine) handle(c *engineConn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Briarcross-Request-Id")
	if r.URL.Path == "/healthz" {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nBriarcross-Instance: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if expected := r.Header.Get("Briarcross-Expect-Instance"); expected != "" && expected != e.id {
		_, err := c.Write(notRun(id, 421))
		return err == nil
	}
	if e.reached != nil {
		e.reached()
	}
	run := runs.next(id)
	if e.answer != nil && e.answer(c, r, body, run) {
		return true
	}
	return e.stream(c, r, id)
}

// stream sends all events of the answer to a request, from Last-Event-Id on.
func (e *engine) stream(c *engineConn, r *http.Request, id string) bool {
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	if _, err := io.WriteString(c, e.head(id, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	for n := first; n <= e.events; n++ {
		time.Sleep(e.gap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(id, n)+e.mark())
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
