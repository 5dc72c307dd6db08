package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

type jobItem struct {
	Id      string
	Path    string
	Headers map[string]string
	Body    string
	Tokens  int
}

type result struct{ Id, State, Text string }

type page struct {
	Total     int
	NextToken int
	Results   []result
}

// itemHeaders are further headers of the items that are handed in.
var itemHeaders = map[string]string{}

// jobBody returns the body of a batch job with some items.
func jobBody(items []string, bodyBytes int) []byte {
	var job struct{ Requests []jobItem }
	content := make([]byte, bodyBytes)
	for i := range content {
		content[i] = byte(i * 7)
	}
	for _, id := range items {
		headers := map[string]string{"Briarcross-Model": "m", "Briarcross-Token-Count": "350,260", "Briarcross-Prompt-Prefix": "9c2e41:100,5d" + fmt.Sprintf("%04x", i16(id)) + ":250"}
		maps.Copy(headers, itemHeaders)
		job.Requests = append(job.Requests, jobItem{Id: id, Path: "/brief/3/" + id, Body: base64.StdEncoding.EncodeToString(content), Tokens: 610, Headers: headers})
	}
	body, _ := json.Marshal(job)
	return body
}

func i16(text string) uint16 {
	h := uint16(7)
	for _, c := range []byte(text) {
		h = h*31 + uint16(c)
	}
	return h
}

// submit hands a batch job in at the entries in turn until one accepts it.
func (d *deployment) submit(id string, items []string, bodyBytes int, limit time.Duration) bool {
	body := jobBody(items, bodyBytes)
	for began, i := time.Now(), 0; time.Since(began) < limit; i++ {
		entry := d.entries[i%len(d.entries)]
		status, _, err := d.call(entry, "POST", "/brief/"+id, map[string]string{"Briarcross-Request-Id": id, "Content-Type": "application/json"}, body)
		d.record.line("job %s with %d items sent to %s: %d %v", id, len(items), entry.name, status, errText(err))
		if status == 202 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// read reads a batch job from a position.
func (d *deployment) read(entry *daemon, id string, after int) (page, int) {
	var p page
	status, body, err := d.call(entry, "GET", fmt.Sprintf("/lots/%s?After=%d", id, after), map[string]string{"Briarcross-Wait-Ms": "1000"}, nil)
	if err != nil {
		return p, 0
	}
	if status == 200 && json.Unmarshal(body, &p) != nil {
		return p, 0
	}
	return p, status
}

// readAll reads a batch job until all its results are there, or the time is over.
func (d *deployment) readAll(id string, total int, limit time.Duration) []result {
	var all []result
	for began, i := time.Now(), 0; len(all) < total && time.Since(began) < limit; i++ {
		p, status := d.read(d.entries[i%len(d.entries)], id, len(all))
		if status != 200 {
			d.record.line("read of job %s: %d", id, status)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			d.record.line("job %s, position %d: item %s is %s with %d bytes of text", id, len(all), r.Id, r.State, len(r.Text))
			all = append(all, r)
		}
	}
	return all
}
