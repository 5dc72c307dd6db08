package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request at an engine.
type arrival struct {
	at      time.Time
	request string
	after   int
}

// engine is a stand-in for a model engine of PROTOCOL.md: it registers by heartbeats, runs
// slots requests at once, queues a few more, and streams events. What it runs is recorded.
type engine struct {
	fleet   *fleet
	id      string
	service string
	version string
	zone    string
	address string
	slots   int
	queue   int
	pause   time.Duration
	// events returns the number of events of a request.
	events func(header http.Header) int
	// trouble, unless nil, may answer a request that has got a slot instead of the engine.
	// It returns true if it did.
	trouble func(e *engine, w http.ResponseWriter, r *http.Request) bool
	// spoils, unless nil, reports whether the engine spoils its answer to a request: it
	// writes bytes that are no answer after some events, and breaks off.
	spoils func(id string) bool

	mu sync.Mutex
	// state is what the heartbeats say; empty stands for ready.
	state string
	// announced is set while all answers say that the engine leaves.
	announced bool
	// ackedAt is when a heartbeat with another state than ready, or a deregistration, was
	// acknowledged first.
	ackedAt  time.Time
	born     int64
	seq      uint64
	up       bool
	server   *http.Server
	stopBeat context.CancelFunc
	tokens   chan struct{}
	waiting  int
	running  map[string]time.Time
	arrivals []arrival
	// arrived, unless nil, is called with each request that reaches the engine.
	arrived func(e *engine, header http.Header)
	// finished holds the requests that were answered completely, failed those that were
	// answered 500 or 422.
	finished map[string]time.Time
	failed   map[string]int
	crashes  []time.Time
	// peak is the highest number of running requests since it was reset.
	peak int
}

func (f *fleet) addEngine(service string, number int) *engine {
	e := &engine{
		fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, version: "v1", zone: zones[number%len(zones)],
		address: fmt.Sprintf("%s.%d:8367", f.network, 100+len(f.engines)), slots: 8, queue: 24, pause: 25 * time.Millisecond,
		running: make(map[string]time.Time), finished: make(map[string]time.Time), failed: make(map[string]int),
	}
	e.events = func(header http.Header) int {
		_, out, _ := strings.Cut(header.Get("Briarcross-Token-Count"), ",")
		n, _ := strconv.Atoi(out)
		return max(1, n)
	}
	f.engines = append(f.engines, e)
	return e
}

// start starts a new incarnation under the same ID.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.seq, e.up = time.Now().UnixMilli(), 0, true
	e.tokens = make(chan struct{}, e.slots)
	e.waiting = 0
	clear(e.running)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	ctx, cancel := context.WithCancel(context.Background())
	e.stopBeat = cancel
	go e.beat(ctx, e.born)
	e.fleet.rec.add("engine %s (%s) starts at %s, born %d", e.id, e.service, e.address, e.born)
	return nil
}

// stop ends the engine at once, like a crash: it sends nothing, its connections are closed.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	e.stopBeat()
	_ = e.server.Close()
	clear(e.running)
}

func (e *engine) beat(ctx context.Context, born int64) {
	for i := 0; ; i++ {
		e.mu.Lock()
		e.seq++
		body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":%q,"Slots":%d,"State":%q,"ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":%d,"born":%d}`,
			e.service, e.address, e.zone, e.version, e.slots, cmp.Or(e.state, "ready"), e.seq, born)
		draining := e.state != ""
		e.mu.Unlock()
		for j := range e.fleet.cores {
			if ctx.Err() != nil {
				return
			}
			core := e.fleet.cores[(i+j)%len(e.fleet.cores)]
			if status, _ := e.fleet.call(http.MethodPost, "http://"+core.control()+"/Instances.Heartbeat/"+e.id, "", map[string]string{"Content-Type": "application/json"}, body, time.Second); status/100 == 2 {
				if draining {
					e.acknowledged()
				}
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(beat):
		}
	}
}

// acknowledged records that the system knows that the engine leaves.
func (e *engine) acknowledged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ackedAt.IsZero() {
		e.ackedAt = time.Now()
	}
}

// announce adds the header of an engine that leaves.
func (e *engine) announce(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announced {
		w.Header().Set("Server-Leaving", "1")
	}
}

func (e *engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	e.announce(w)
	w.Header().Set("Briarcross-Request-Id", r.Header.Get("Briarcross-Request-Id"))
	w.Header().Set("Briarcross-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Briarcross-Request-Id")
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Briarcross-Instance", e.id)
		return
	case r.URL.Path == "/report":
		e.mu.Lock()
		running := len(e.running)
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Seq":1,"Waiting":0,"Running":%d,"KvUsed":0,"KvTotal":146246,"Handles":0}`, running)
		return
	case id == "":
		e.refuse(w, r, http.StatusBadRequest)
		return
	case r.Header.Get("Briarcross-Expect-Instance") != e.id:
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{time.Now(), id, after})
	full := e.waiting >= e.queue
	if !full {
		e.waiting++
	}
	tokens := e.tokens
	e.mu.Unlock()
	e.fleet.rec.add("engine %s gets %s after %d", e.id, id, after)
	if e.arrived != nil {
		e.arrived(e, r.Header)
	}
	if full {
		e.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	select {
	case tokens <- struct{}{}:
	case <-r.Context().Done():
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
		return
	}
	defer func() { <-tokens }()
	e.mu.Lock()
	e.waiting--
	e.running[id] = time.Now()
	e.peak = max(e.peak, len(e.running))
	e.mu.Unlock()
	e.fleet.rec.add("engine %s runs %s", e.id, id)
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	if e.trouble != nil && e.trouble(e, w, r) {
		return
	}
	e.stream(w, r, id, after)
}

// foreignBytes are bytes that are no answer. They belong to no request.
const foreignBytes = "error: worker 3 of 4 has left the group\n\n"

// head sends the head of a stream.
func (e *engine) head(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Briarcross-Request-Id", id)
	w.Header().Set("Briarcross-Response-Stamp", e.id+"."+id)
	w.Header().Set("Briarcross-Weight-Versions", "1")
	e.announce(w)
	w.WriteHeader(http.StatusOK)
}

func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// eventText is the text of one event of a stream.
func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n))
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, after int) {
	flush := http.NewResponseController(w)
	total := e.events(r.Header)
	spoiled := e.spoils != nil && e.spoils(id)
	for n := after + 1; n <= total; n++ {
		if spoiled && n == after+6 {
			e.fleet.rec.add("engine %s spoils its answer to %s after event %d, and breaks off", e.id, id, n-1)
			fmt.Fprint(w, foreignBytes)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			e.fleet.rec.add("engine %s drops %s at event %d", e.id, id, n)
			return
		case <-time.After(e.pause):
		}
		if n == after+1 {
			e.head(w, id)
		}
		fmt.Fprint(w, eventText(id, n))
		if flush.Flush() != nil {
			return
		}
	}
	e.mu.Lock()
	e.finished[id] = time.Now()
	e.mu.Unlock()
	e.fleet.rec.add("engine %s has finished %s", e.id, id)
}

// crash ends the engine while it runs a request, and starts it again after a time.
func (e *engine) crash(cause string, back time.Duration) {
	e.mu.Lock()
	e.crashes = append(e.crashes, time.Now())
	e.mu.Unlock()
	e.fleet.rec.add("engine %s crashes on %s", e.id, cause)
	go func() {
		e.stop()
		time.Sleep(back)
		if err := e.start(); err != nil {
			e.fleet.rec.add("engine %s does not start: %v", e.id, err)
		}
	}()
}

// job is a batch job of the stand-in client.
type job struct {
	id      string
	items   []string
	tokens  string
	events  int
	prefix  string
	results map[string]result
	order   []string
	sentAt  time.Time
	total   int
}

type result struct {
	ID    string `json:"Id"`
	State string
	Text  string
	// readAt is when the client read the result.
	readAt time.Time
}

func newJob(id, prefix string, items, tokensIn, events int) *job {
	j := &job{id: id, prefix: prefix, events: events, tokens: fmt.Sprintf("%d,%d", tokensIn, events), results: make(map[string]result)}
	for i := range items {
		j.items = append(j.items, fmt.Sprintf("%s-item-%d", id, i))
	}
	return j
}

func (j *job) body() string {
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    string
		Tokens  int
	}
	var requests []item
	in, _, _ := strings.Cut(j.tokens, ",")
	tokensIn, _ := strconv.Atoi(in)
	for i, id := range j.items {
		requests = append(requests, item{id, j.prefix + "7/" + id, map[string]string{
			"Briarcross-Model": "m", "Briarcross-Token-Count": j.tokens,
			"Briarcross-Prompt-Prefix": fmt.Sprintf("9c2e41:%d,%x:%d", tokensIn/2, 0xa0000+i, tokensIn-tokensIn/2),
		}, "q83vEjRWeJA=", tokensIn + j.events})
	}
	raw, _ := json.Marshal(map[string]any{"Requests": requests})
	return string(raw)
}

// submit sends a job until it gets a 202, each time to another entry.
func (f *fleet) submit(j *job) error {
	j.sentAt = time.Now()
	body := j.body()
	i := 0
	return f.until("202 of job "+j.id, 12*time.Second, func() bool {
		edge := f.edges[i%len(f.edges)]
		i++
		f.rec.add("client sends job %s with %d items to %s", j.id, len(j.items), edge.name)
		status, _ := f.call(http.MethodPost, "http://"+edge.front()+j.prefix+j.id, host, map[string]string{"Briarcross-Request-Id": j.id, "Content-Type": "application/json"}, body, 4*time.Second)
		f.rec.add("client gets %d for job %s", status, j.id)
		return status == http.StatusAccepted
	})
}

// read reads the new results of a job once.
func (f *fleet) read(j *job, edge *machine) int {
	status, raw := f.call(http.MethodGet, fmt.Sprintf("http://%s/lots/%s?After=%d", edge.front(), j.id, len(j.order)), host, nil, "", 3*time.Second)
	if status != http.StatusOK {
		f.rec.add("client gets %d reading job %s at %s", status, j.id, edge.name)
		return status
	}
	var page struct {
		Total     int
		NextToken int
		Results   []result
	}
	if err := json.Unmarshal(raw, &page); err != nil {
		f.rec.add("client cannot read job %s: %v", j.id, err)
		return 0
	}
	j.total = page.Total
	for _, r := range page.Results {
		f.rec.add("client reads result %d of job %s: %s %s, %d bytes", len(j.order), j.id, r.ID, r.State, len(r.Text))
		j.order = append(j.order, r.ID)
		r.readAt = time.Now()
		j.results[r.ID] = r
	}
	return status
}

// expectedText is the whole output of an item.
func (j *job) expectedText(id string) string {
	var lines []string
	for n := 1; n <= j.events; n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// follow reads jobs twice a second until all their items are listed or a time has come.
func (f *fleet) follow(until time.Time, jobs ...*job) {
	for i := 0; time.Now().Before(until); i++ {
		open := false
		for _, j := range jobs {
			if len(j.results) < len(j.items) {
				f.read(j, f.edges[i%len(f.edges)])
			}
			open = open || len(j.results) < len(j.items)
		}
		if !open {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// engineHad reports whether an engine of a service had an item of a job that is not listed
// since a time, and the highest number of requests that one of them ran since then.
func (f *fleet) engineHad(service string, j *job, since time.Time) (had bool, finished bool, peak int) {
	for _, e := range f.engines {
		e.mu.Lock()
		for _, a := range e.arrivals {
			if _, listed := j.results[a.request]; !listed && strings.HasPrefix(a.request, j.id+"-item-") && a.at.After(since) {
				had = true
			}
		}
		for id := range e.running {
			if _, listed := j.results[id]; !listed && strings.HasPrefix(id, j.id+"-item-") {
				had = true
			}
		}
		for id, at := range e.finished {
			if strings.Contains(id, "-item-") && at.After(since.Add(2*time.Second)) {
				finished = true
			}
		}
		if e.service == service {
			peak = max(peak, e.peak)
		}
		e.mu.Unlock()
	}
	return had, finished, peak
}

func (f *fleet) resetPeaks() {
	for _, e := range f.engines {
		e.mu.Lock()
		e.peak = len(e.running)
		e.mu.Unlock()
	}
}
