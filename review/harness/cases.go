package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const engineSheet = `"Engine":{"Slots":8,"KvCapTokens":%d,"KvTokenBytes":163840,"LinkMbps":370000.0,"Moves":true,"Backups":true,"Stride":5,"MaxCount":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}`

func service(name string, tokens int) string {
	return fmt.Sprintf(`{"Name":%q,"HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,`+engineSheet+`}`, name, tokens)
}

// bulk is a bulk route with the figures of risk-brief on the sheet of sdf-briar.
func bulk(name, prefix, target string) string {
	return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":%q,"Kind":"bulk","TimeoutMs":15000,"GoalMs":400,"Priority":2,%s,"Attempts":3,"Sticky":true,"Resumable":true,"GapTargetMs":300,"RunTargetMs":18000,"KeepS":60}`, name, host, prefix, target)
}

// resumable is a streaming route with the figures of field-note.
func resumable(name, prefix, target string) string {
	return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":%q,"Kind":"streaming","TimeoutMs":5000,"GoalMs":300,"Priority":0,%s,"Attempts":2,"Sticky":true,"Resumable":true,"GapTargetMs":300}`, name, host, prefix, target)
}

// streaming is a streaming route with the figures of night-log.
func streaming(name, prefix, target string) string {
	return fmt.Sprintf(`{"Name":%q,"Host":%q,"PathPrefix":%q,"Kind":"streaming","TimeoutMs":5000,"GoalMs":300,"Priority":0,%s,"Attempts":1,"Sticky":true,"Resumable":false,"GapTargetMs":300}`, name, host, prefix, target)
}

func to(service string) string { return fmt.Sprintf(`"Service":%q`, service) }

func configuration(version int, services, routes []string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}

// blocked: all engines of one service are lost for good. Batch jobs of another service, whose
// engines are sound and idle, must be done all the same.
func blocked(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 3 {
		f.addEngine("lost", i)
	}
	for i := range 3 {
		f.addEngine("sound", i)
	}
	if err := f.startAll(configuration(7, []string{service("lost", 146246), service("sound", 146246)},
		[]string{bulk("lost-jobs", "/lohu930/", to("lost")), bulk("sound-jobs", "/bopu901/", to("sound"))})); err != nil {
		return v, err
	}
	if trouble {
		f.rec.say("all engines of service lost crash for good")
		for _, e := range f.engines[:3] {
			e.stop()
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	first := newJob("lost-1", "/lohu930/", 10, 350, 240)
	if err := f.submit(first); err != nil {
		return v, err
	}
	early := newJob("sound-1", "/bopu901/", 10, 350, 240)
	if err := f.submit(early); err != nil {
		return v, err
	}
	f.follow(began.Add(48*time.Second), early, first)
	f.rec.say("job sound-1: %d of %d items listed %.1f s after it was sent", len(early.results), len(early.items), time.Since(early.sentAt).Seconds())
	time.Sleep(time.Until(began.Add(48 * time.Second)))
	late := newJob("sound-2", "/bopu901/", 10, 350, 240)
	if err := f.submit(late); err != nil {
		return v, err
	}
	// Traffic ends here; FinishS begins.
	ended := time.Now()
	f.rec.say("traffic ends; FinishS is 18 s")
	f.follow(ended.Add(finish-5*time.Second), late)
	f.resetPeaks()
	calm := time.Now()
	if len(late.results) < len(late.items) {
		f.follow(ended.Add(finish), late)
	}
	f.judgeFinished(&v, "sound", late, calm)
	return v, nil
}

// judgeFinished judges the rule LOST on the items of a job when FinishS is over. calm is
// the beginning of the last 5 s.
func (f *fleet) judgeFinished(v *verdict, service string, j *job, calm time.Time) {
	missing := len(j.items) - len(j.results)
	had, finished, peak := f.engineHad(service, j, calm)
	f.rec.say("job %s: %d of %d items listed %.1f s after it was sent; since %.1f s an engine had one of the others: %v, some item was finished in the last 3 s: %v, most requests at an engine of the service: %d of 8 slots",
		j.id, len(j.results), len(j.items), time.Since(j.sentAt).Seconds(), time.Since(calm).Seconds(), had, finished, peak)
	if missing > 0 && !had && !finished && peak < 4 {
		v.add("LOST: FinishS is over, and %d items of job %s are listed neither as completed nor as errored", missing, j.id)
	}
}

// foreignHeartbeat: a heartbeat of another writer names a service that isn't in the
// configuration, and the address of a sound engine. It names no engine to use; the others
// hold.
func foreignHeartbeat(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 3 {
		f.addEngine("sound", i)
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{
		bulk("jobs", "/bopu901/", to("sound")), streaming("log", "/lohu930/", to("sound"))})); err != nil {
		return v, err
	}
	before := f.online("/lohu930/", "before", 20)
	if trouble {
		for i, e := range f.engines {
			body := fmt.Sprintf(`{"Service":"no-such-service","Addr":%q,"Zone":%q,"Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":1,"born":%d}`,
				e.address, e.zone, time.Now().UnixMilli())
			status, _ := f.call(http.MethodPost, fmt.Sprintf("http://%s/Instances.Heartbeat/i-other-%d", f.cores[i%3].control(), i), "", map[string]string{"Content-Type": "application/json"}, body, time.Second)
			f.rec.say("another writer sends %s, and gets %d", body, status)
		}
	}
	time.Sleep(contact)
	after := f.online("/lohu930/", "after", 20)
	f.rec.say("online requests served: %d of 20 before, %d of 20 after", before, after)
	j := newJob("job-1", "/bopu901/", 10, 350, 120)
	if err := f.submit(j); err != nil {
		return v, err
	}
	ended := time.Now()
	f.rec.say("traffic ends; FinishS is 18 s")
	f.follow(ended.Add(finish-5*time.Second), j)
	f.resetPeaks()
	calm := time.Now()
	if len(j.results) < len(j.items) {
		f.follow(ended.Add(finish), j)
	}
	f.judgeFinished(&v, "sound", j, calm)
	return v, nil
}

// online sends streams one after the other and returns how many are answered completely.
func (f *fleet) online(prefix, name string, count int) int {
	served := 0
	for i := range count {
		edge := f.edges[i%len(f.edges)]
		id := fmt.Sprintf("%s-%d", name, i)
		f.rec.add("client sends %s to %s", id, edge.name)
		status, body := f.call(http.MethodPost, "http://"+edge.front()+prefix+"2f", host, map[string]string{
			"Briarcross-Request-Id": id, "Briarcross-Deadline-Ms": "5000", "Briarcross-Model": "m", "Briarcross-Token-Count": "450,8",
			"Briarcross-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:250", 0xb0000+i),
		}, "prompt", 5*time.Second)
		f.rec.add("client gets %d with %d bytes for %s", status, len(body), id)
		if status == http.StatusOK && strings.Contains(string(body), fmt.Sprintf("data: %s\n", eventData(id, 8))) {
			served++
		}
	}
	return served
}

// endless: for some seconds, half of the engines answer with a body of bytes that are no
// answer and don't end until the caller closes.
func endless(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 4 {
		f.addEngine("sound", i)
	}
	var active atomic.Bool
	var endlessAnswers atomic.Int64
	for _, e := range f.engines[:2] {
		e.trouble = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			if !active.Load() {
				return false
			}
			endlessAnswers.Add(1)
			id := r.Header.Get("Briarcross-Request-Id")
			f.rec.add("engine %s answers %s without end", e.id, id)
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return true
			}
			defer conn.Close()
			fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBriarcross-Request-Id: %s\r\nBriarcross-Response-Stamp: %s.%s\r\n\r\n", id, e.id, id)
			writeEndless(conn, buffered.Writer)
			f.rec.add("engine %s: the caller has closed %s", e.id, id)
			return true
		}
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{bulk("jobs", "/bopu901/", to("sound"))})); err != nil {
		return v, err
	}
	active.Store(trouble)
	if trouble {
		f.rec.say("engines %s and %s are in trouble for 10 s", f.engines[0].id, f.engines[1].id)
	}
	time.AfterFunc(10*time.Second, func() { active.Store(false) })
	var jobs []*job
	for i := range 4 {
		j := newJob(fmt.Sprintf("job-%d", i), "/bopu901/", 20, 350, 120)
		jobs = append(jobs, j)
		if err := f.submit(j); err != nil {
			return v, err
		}
	}
	f.follow(time.Now().Add(50*time.Second), jobs...)
	f.rec.say("%d answers were endless", endlessAnswers.Load())
	f.judgeErrored(&v, jobs)
	return v, nil
}

// writeEndless writes blocks of digits, with empty lines between them, until the caller
// closes.
func writeEndless(conn net.Conn, w *bufio.Writer) {
	line := []byte(strings.Repeat("0123456789abcdef", 128) + "\n\n")
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := w.Write(line); err != nil {
			return
		}
	}
}

// judgeErrored judges the rule MIXED: no item may be listed as errored before a 422,
// Attempts answers of 500, KeepS, or the end of its job or route.
func (f *fleet) judgeErrored(v *verdict, jobs []*job) {
	completed := 0
	for _, j := range jobs {
		for _, id := range j.items {
			r, listed := j.results[id]
			switch {
			case !listed:
				f.rec.say("item %s is not listed", id)
			case r.State == "errored":
				v.add("MIXED: item %s was read as errored %.1f s after its job was sent; no engine answered 422 or 500, and KeepS is 60 s", id, r.readAt.Sub(j.sentAt).Seconds())
			case r.Text != j.expectedText(id):
				v.add("MIXED: the text of item %s is not its whole output", id)
			default:
				completed++
			}
		}
	}
	f.rec.say("%d items are completed", completed)
}

// split: the configuration splits a route of batch jobs over two services, of which one has
// engines with less memory. The items fit the engines of the other.
func split(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 3 {
		f.addEngine("large", i)
	}
	for i := range 3 {
		f.addEngine("small", i)
	}
	services := []string{service("large", 146246), service("small", 4096)}
	if err := f.startAll(configuration(7, services, []string{bulk("jobs", "/bopu901/", to("large"))})); err != nil {
		return v, err
	}
	// 4,300 tokens fit the memory of 146,246 tokens, and not that of 4,096.
	j := newJob("job-1", "/bopu901/", 60, 4200, 100)
	if err := f.submit(j); err != nil {
		return v, err
	}
	if trouble {
		f.rec.say("the operator splits the route")
		if err := f.configure(configuration(9, services, []string{bulk("jobs", "/bopu901/",
			`"Backends":[{"Service":"large","Weight":90},{"Service":"small","Weight":10}]`)})); err != nil {
			return v, err
		}
	}
	f.follow(time.Now().Add(50*time.Second), j)
	f.judgeErrored(&v, []*job{j})
	return v, nil
}

// deadly: a request crashes each engine that begins to run it, and comes again.
func deadly(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	for i := range 6 {
		e := f.addEngine("sound", i)
		e.trouble = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.Header.Get("Briarcross-Request-Id"), "deadly-") || !trouble {
				return false
			}
			e.crash(r.Header.Get("Briarcross-Request-Id"), 3*time.Second)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{streaming("log", "/lohu930/", to("sound"))})); err != nil {
		return v, err
	}
	for i := range 24 {
		edge := f.edges[i%len(f.edges)]
		id := fmt.Sprintf("deadly-%d", i)
		f.rec.add("client sends %s to %s", id, edge.name)
		status, _ := f.call(http.MethodPost, "http://"+edge.front()+"/lohu930/dead", host, map[string]string{
			"Briarcross-Request-Id": id, "Briarcross-Deadline-Ms": "5000", "Briarcross-Model": "m", "Briarcross-Token-Count": "450,36",
			"Briarcross-Prompt-Prefix": "5c1e07a2:200,dead01:250",
		}, "the same body", 5*time.Second)
		f.rec.add("client gets %d for %s", status, id)
		f.online("/lohu930/", fmt.Sprintf("sound-%d", i), 2)
		time.Sleep(time.Second)
	}
	var crashes []time.Time
	late := 0
	for _, e := range f.engines {
		crashes = append(crashes, e.crashes...)
	}
	sortTimes(crashes)
	if len(crashes) >= 3 {
		for _, e := range f.engines {
			for _, a := range e.arrivals {
				if strings.HasPrefix(a.request, "deadly-") && a.at.After(crashes[2].Add(contact)) {
					late++
				}
			}
		}
	}
	f.rec.say("%d crashes; %d retries reached engines later than ContactMs after the third", len(crashes), late)
	if late > 3 {
		v.add("BUDGET: the request reached engines in %d retries later than ContactMs after it had crashed the third", late)
	}
	return v, nil
}

// spoiled: half of the engines spoil one in 33 of their answers: they write bytes that are
// no answer after some events, and break off. The streams may be resumed at another engine.
// None may reach its caller as a success with other bytes than those of its events.
func spoiled(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	const streams, events = 600, 36
	for i := range 4 {
		f.addEngine("sound", i)
	}
	spoiledCount := 0
	for _, e := range f.engines[:2] {
		e.pause = 20 * time.Millisecond
		answers := 0
		e.spoils = func(id string) bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			answers++
			if !trouble || answers%33 != 0 {
				return false
			}
			spoiledCount++
			return true
		}
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{resumable("note", "/novo13/", to("sound"))})); err != nil {
		return v, err
	}
	type outcome struct {
		id     string
		status int
		body   string
	}
	outcomes := make(chan outcome, streams)
	for i := range streams {
		id := fmt.Sprintf("note-%d", i)
		edge := f.edges[i%len(f.edges)]
		f.rec.add("client sends %s to %s", id, edge.name)
		go func() {
			status, body := f.call(http.MethodPost, "http://"+edge.front()+"/novo13/2f", host, map[string]string{
				"Briarcross-Request-Id": id, "Briarcross-Deadline-Ms": "5000", "Briarcross-Model": "m", "Briarcross-Token-Count": fmt.Sprintf("450,%d", events),
				"Briarcross-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:250", 0xb0000+i),
			}, "prompt "+id, 6*time.Second)
			outcomes <- outcome{id, status, string(body)}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	served, whole := 0, 0
	for range streams {
		o := <-outcomes
		f.rec.add("client gets %d with %d bytes for %s", o.status, len(o.body), o.id)
		if o.status != http.StatusOK {
			continue
		}
		served++
		var expected strings.Builder
		for n := 1; n <= events; n++ {
			expected.WriteString(eventText(o.id, n))
		}
		if o.body == expected.String() {
			whole++
			continue
		}
		f.rec.add("the body of %s: %q", o.id, o.body)
		if strings.Contains(o.body, foreignBytes) {
			v.add("MIXED: %s is a complete success whose body holds bytes that belong to no request", o.id)
		} else {
			v.add("MIXED: %s is a complete success whose body isn't the whole body", o.id)
		}
	}
	f.rec.say("%d streams, %d complete successes, %d of these with the whole body and no other bytes; %d answers were spoiled", streams, served, whole, spoiledCount)
	return v, nil
}
