package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream is what a client got of one stream over all its tries.
type stream struct {
	id string
	// began is the ID of the try that brought the first event.
	began    string
	events   []string
	complete bool
	// answers tells how each try ended.
	answers []string
}

// streamTry is one try of a client. It takes the stream up after the events that are there.
func (d *deployment) streamTry(s *stream, entry *daemon, path, tryID string, left time.Duration) (retry bool, wait time.Duration) {
	request, err := http.NewRequest("POST", "http://"+net.JoinHostPort(entry.ip, strconv.Itoa(frontPort))+path, strings.NewReader(strings.Repeat("x", 1500)))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = routeHost
	request.Header.Set("Briarcross-Request-Id", tryID)
	request.Header.Set("Briarcross-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Briarcross-Model", "m")
	request.Header.Set("Briarcross-Token-Count", "450,60")
	request.Header.Set("Briarcross-Prompt-Prefix", fmt.Sprintf("5c1e07a2:100,91bd%04x:100,e4%06x:250", i16(s.id)%90, i16(s.id)))
	if len(s.events) > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(len(s.events)))
		request.Header.Set("Resumes", s.began)
	}
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		s.answers = append(s.answers, "no answer")
		return true, 0
	}
	defer response.Body.Close()
	if response.StatusCode != 200 {
		_, _ = io.Copy(io.Discard, response.Body)
		s.answers = append(s.answers, strconv.Itoa(response.StatusCode))
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return response.StatusCode >= 500, time.Duration(after * float64(time.Second))
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			s.complete = true
			s.answers = append(s.answers, "complete")
			return false, 0
		}
		if err != nil {
			s.answers = append(s.answers, "broken off")
			return true, 0
		}
		if data, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: "); found {
			if len(s.events) == 0 {
				s.began = tryID
			}
			s.events = append(s.events, data)
		}
	}
}

// runStream sends a stream and repeats it once, at another entry, within its deadline.
func (d *deployment) runStream(id, path string, entry int) *stream {
	const deadline = 5 * time.Second
	s := &stream{id: id}
	began := time.Now()
	for try := range 2 {
		left := deadline - time.Since(began)
		if left < 100*time.Millisecond {
			break
		}
		retry, wait := d.streamTry(s, d.entries[(entry+try)%len(d.entries)], path, fmt.Sprintf("%s%02x", id, try), left)
		if !retry {
			break
		}
		time.Sleep(min(wait, (deadline-time.Since(began))/3))
	}
	return s
}
