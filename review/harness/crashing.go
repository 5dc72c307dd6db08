package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// crashing: what crashes engines is a request that comes again (MODE contains request) or a
// part of prompts that are never alike (part). The engines crash before the head of a response
// (early), after the head (head) or after an event (event). With resumable in MODE, the route
// allows two attempts. Sound requests come beside them.
func crashing(f *fleet, trouble bool) (verdict, error) {
	var v verdict
	mode := os.Getenv("MODE")
	if status, isItems := strings.CutPrefix(mode, "items-"); isItems {
		return failingItems(f, trouble, status)
	}
	f.rec.say("mode %s", mode)
	for i := range 8 {
		e := f.addEngine("sound", i)
		e.trouble = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Briarcross-Request-Id")
			if !strings.HasPrefix(id, "deadly-") || !trouble {
				return false
			}
			if !strings.Contains(mode, "early") {
				e.head(w, id)
				if strings.Contains(mode, "event") {
					fmt.Fprint(w, eventText(id, 1))
				}
				_ = http.NewResponseController(w).Flush()
			}
			e.crash(id, 3*time.Second)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	route := streaming("log", "/lohu930/", to("sound"))
	if strings.Contains(mode, "resumable") {
		route = resumable("log", "/lohu930/", to("sound"))
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{route})); err != nil {
		return v, err
	}
	served, sound := 0, 0
	for i := range 30 {
		edge := f.edges[i%len(f.edges)]
		id, body, parts := fmt.Sprintf("deadly-%d", i), "the same body", "5c1e07a2:200,dead01:250"
		if strings.Contains(mode, "part") {
			body, parts = "body "+id, fmt.Sprintf("5c1e07a2:200,dead02:50,%x:200", 0xe0000+i)
		}
		status, _ := f.call(http.MethodPost, "http://"+edge.front()+"/lohu930/dead", host, map[string]string{
			"Briarcross-Request-Id": id, "Briarcross-Deadline-Ms": "5000", "Briarcross-Model": "m", "Briarcross-Token-Count": "450,36",
			"Briarcross-Prompt-Prefix": parts,
		}, body, 5*time.Second)
		f.rec.add("client gets %d for %s", status, id)
		served += f.online("/lohu930/", fmt.Sprintf("sound-%d", i), 2)
		sound += 2
		time.Sleep(300 * time.Millisecond)
	}
	allowed := 3
	if strings.Contains(mode, "part") {
		allowed = 5
	}
	var crashes []time.Time
	attempts := make(map[string]int)
	late := 0
	for _, e := range f.engines {
		crashes = append(crashes, e.crashes...)
	}
	sortTimes(crashes)
	for _, e := range f.engines {
		for _, a := range e.arrivals {
			if strings.HasPrefix(a.request, "deadly-") {
				attempts[a.request]++
				if len(crashes) >= allowed && a.at.After(crashes[allowed-1].Add(contact)) {
					late++
				}
			}
		}
	}
	f.rec.say("%d crashes, %d sends later than ContactMs after number %d; %d of %d sound requests served", len(crashes), late, allowed, served, sound)
	if late > 3 {
		v.add("BUDGET: %d sends later than ContactMs after %d crashes", late, allowed)
	}
	for id, n := range attempts {
		if n > 2 {
			v.add("BUDGET: %s has reached %d engines", id, n)
		}
	}
	if trouble && served*2 < sound {
		v.add("LOST: %d of %d sound requests were served", served, sound)
	}
	return v, nil
}

// failingItems: the items of a job are answered with 500 or 422 at each run.
func failingItems(f *fleet, trouble bool, answer string) (verdict, error) {
	var v verdict
	status, allowed := http.StatusInternalServerError, 3*3
	if answer == "422" {
		status, allowed = http.StatusUnprocessableEntity, 3
	}
	for i := range 4 {
		e := f.addEngine("sound", i)
		e.trouble = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			if !trouble {
				return false
			}
			id := r.Header.Get("Briarcross-Request-Id")
			w.Header().Set("Briarcross-Request-Id", id)
			w.Header().Set("Briarcross-Response-Stamp", e.id+"."+id)
			w.WriteHeader(status)
			return true
		}
	}
	if err := f.startAll(configuration(7, []string{service("sound", 146246)}, []string{bulk("jobs", "/bopu901/", to("sound"))})); err != nil {
		return v, err
	}
	j := newJob("job-1", "/bopu901/", 20, 350, 120)
	if err := f.submit(j); err != nil {
		return v, err
	}
	f.follow(time.Now().Add(50*time.Second), j)
	runs, most := make(map[string]int), 0
	for _, e := range f.engines {
		e.mu.Lock()
		for _, a := range e.arrivals {
			runs[a.request]++
			most = max(most, runs[a.request])
		}
		e.mu.Unlock()
	}
	f.rec.say("%d of %d items listed, most runs of an item %d", len(j.results), len(j.items), most)
	if most > allowed {
		v.add("BUDGET: an item reached engines %d times, %d are allowed", most, allowed)
	}
	return v, nil
}
