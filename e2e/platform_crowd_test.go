package e2e

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowds and limits of these tests. maxBodyBytes is that of the routing table.
const (
	maxBodyBytes     = 4 << 20
	entryMemoryMb    = 96
	entryDescriptors = 600
	bodyCrowd        = 40
	smallBodyCrowd   = 400
	smallBodyBytes   = 240 << 10
	silentCrowd      = 1200

	jobEntryMemoryMb = 184
	storageMemoryMb  = 200
	largeJobCrowd    = 60
	smallJobCrowd    = 600
	// jobBytes is the size of a job in JSON, with the bodies of its items in base64.
	jobBytes      = 4<<20 - 64<<10
	smallJobBytes = 100 << 10
	// backlogCrowd members submit backlogJobs of backlogItems each.
	backlogCrowd = 40
	backlogJobs  = 10
	backlogItems = 1000
)

// startLimitedFleet starts a fleet in which entries and storage have little memory.
func startLimitedFleet(t *testing.T, entries, entryMemory, storageMemory int) *platformFleet {
	t.Helper()
	limits := map[string]nodeLimits{
		"entry": {memoryMb: entryMemory, descriptors: entryDescriptors}, "store": {memoryMb: storageMemory},
	}
	return startPlatformFleetWithLimits(t, entries, 4, false, limits)
}

// restart replaces the process of a node, so that its peak memory is counted anew.
func (f *platformFleet) restart(n *platformNode) {
	f.t.Helper()
	n.kill()
	f.startNode(n, false)
	f.awaitOrdinaryRequest(n, "after a restart")
}

func (f *platformFleet) awaitOrdinaryRequest(n *platformNode, when string) {
	f.t.Helper()
	f.await("an ordinary request is answered "+when, func() bool {
		return f.sendRequest(n, "/resumable/", fmt.Sprintf("ordinary-%s-%d", n.name, time.Now().UnixNano())).complete
	})
}

// awaitSingle sends a request inside the limits, while there are no others, until it succeeds. It
// must never be refused for its size or for what it holds. It may be slow on a busy machine, or come
// before the storage group has a leader.
func (f *platformFleet) awaitSingle(goal string, send func() (done bool, status int, body string)) {
	f.t.Helper()
	f.await(goal, func() bool {
		done, status, body := send()
		switch reason := strings.TrimSpace(body); {
		case status == http.StatusRequestEntityTooLarge, status == http.StatusRequestTimeout,
			reason == "memory_full", reason == "storage_full", reason == "connections_full":
			f.t.Fatalf("%s, but it got status %d, %q", goal, status, reason)
		}
		return done
	})
}

// sendLargeRequest sends one request with a body of the largest size.
func (f *platformFleet) sendLargeRequest(n *platformNode, id string) streamResponse {
	request, err := http.NewRequest(http.MethodPost, "http://"+n.callersAddress()+"/resumable/x", strings.NewReader(strings.Repeat("x", maxBodyBytes)))
	if err != nil {
		return streamResponse{err: err}
	}
	request.Host = routeHost
	request.Header.Set(headerID, id)
	return f.doRequest(f.client, request)
}

// Crowds of large or unfinished bodies filled the memory of an entry until it was killed.
func TestCrowdOfBodiesFillsTheMemoryOfAnEntry(t *testing.T) {
	f := startLimitedFleet(t, 1, entryMemoryMb, 0)
	entry := f.entries[0]
	const path = "/resumable/x"
	short := piecesOf(maxBodyBytes-1, maxBodyBytes)
	forms := []struct {
		name    string
		members int
		body    body
		fields  []string
		read    bool
	}{
		{"whole", bodyCrowd, piecesOf(maxBodyBytes, maxBodyBytes), []string{lengthField(maxBodyBytes)}, true},
		{"short", bodyCrowd, short, []string{lengthField(maxBodyBytes)}, false},
		{"short after 100 Continue", bodyCrowd, short, []string{lengthField(maxBodyBytes), "Expect: 100-continue"}, false},
		{"short in pieces", bodyCrowd, piecesOf(maxBodyBytes-1, 32<<10), []string{lengthField(maxBodyBytes)}, false},
		{"short in large chunks", bodyCrowd, withoutEnd(chunksOf(maxBodyBytes, maxBodyBytes)), []string{chunkedField}, false},
		{"short in chunks", bodyCrowd, withoutEnd(chunksOf(maxBodyBytes, 16<<10)), []string{chunkedField}, false},
		{"short in small chunks", bodyCrowd, chunksOf(maxBodyBytes-8, 8), []string{chunkedField}, false},
		{"over the limit in chunks", bodyCrowd, chunksOf(4*maxBodyBytes, 64<<10), []string{chunkedField}, false},
		{"over the limit in large chunks", bodyCrowd, chunksOf(4*maxBodyBytes, 2*maxBodyBytes), []string{chunkedField}, false},
		{"over the announced limit", bodyCrowd, piecesOf(4*maxBodyBytes, maxBodyBytes), []string{lengthField(1 << 30)}, false},
		{"many small and short", smallBodyCrowd, piecesOf(smallBodyBytes-1, smallBodyBytes), []string{lengthField(smallBodyBytes)}, false},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			f.restart(entry)
			f.awaitSingle("a single request of the largest size is answered", func() (bool, int, string) {
				got := f.sendLargeRequest(entry, "large-"+strings.ReplaceAll(form.name, " ", "-"))
				return got.complete, got.status, got.body
			})
			probe := startProbe(entry.process, entry.ip)
			send := sendTo(path, strings.ReplaceAll(form.name, " ", "-"), form.body, form.fields...)
			if form.read {
				send = andRead(send)
			}
			members := startCrowd(form.members, []string{entry.callersAddress()}, send)
			(&fleet{t: t}).awaitHold(probe)
			f.awaitOrdinaryRequest(entry, "beside the crowd")
			members.close()
			f.awaitOrdinaryRequest(entry, "after the crowd")
			probe.check(t, entryMemoryMb, entryDescriptors)
		})
	}
}

// Nothing bounded the open connections of an entry, which needs descriptors for engines too.
func TestCrowdOfConnectionsTakesTheDescriptorsOfAnEntry(t *testing.T) {
	f := startLimitedFleet(t, 1, entryMemoryMb, 0)
	entry := f.entries[0]
	forms := []struct {
		name string
		send func(conn net.Conn, member int) error
	}{
		{"silent", func(net.Conn, int) error { return nil }},
		{"idle after a request", andRead(sendTo("/resumable/x", "idle", piecesOf(6, 6), lengthField(6)))},
		{"unfinished heads", func(conn net.Conn, _ int) error {
			_, err := conn.Write([]byte("POST /resumable/x HTTP/1.1\r\nHost: "))
			return err
		}},
		{"bodies of one byte too few", sendTo("/resumable/x", "short", piecesOf(9, 9), lengthField(10))},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			f.restart(entry)
			probe := startProbe(entry.process, entry.ip)
			members := startCrowd(silentCrowd, []string{entry.callersAddress()}, form.send)
			f.awaitOrdinaryRequest(entry, "beside the crowd")
			members.close()
			f.awaitOrdinaryRequest(entry, "after the crowd")
			probe.check(t, entryMemoryMb, entryDescriptors)
		})
	}
}

// jobOf returns a job of about a size in JSON.
func jobOf(name string, size int) string {
	const items = 100
	content := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", size/items*3/4-120)))
	var b strings.Builder
	b.WriteString(`{"Requests":[`)
	for i := range items {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"Id":%q,"Path":"/jobs/1/x","Headers":{},"Body":%q}`, itemID(name, i), content)
	}
	b.WriteString("]}")
	return b.String()
}

// sendJobs returns the send function of members that each submit a job of a size. They keep
// the last bytes back if short is set.
func sendJobs(name string, size, short int) func(net.Conn, int) error {
	return func(conn net.Conn, member int) error {
		id := fmt.Sprintf("%s-%d", name, member)
		job := jobOf(id, size)
		send := func(conn net.Conn, _ int) error {
			_, err := io.WriteString(conn, requestHead("/jobs/submit", id, lengthField(len(job)))+job[:len(job)-short])
			return err
		}
		if short == 0 {
			send = andRead(send)
		}
		return send(conn, member)
	}
}

// Crowds of jobs filled the memory of entries, and of the replicas of the storage group.
func TestCrowdOfJobsFillsTheMemoryOfStorage(t *testing.T) {
	forms := []struct {
		name        string
		members     int
		size, short int
	}{
		{"short", largeJobCrowd, jobBytes, 1},
		{"large", largeJobCrowd, jobBytes, 0},
		{"many small", smallJobCrowd, smallJobBytes, 0},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			f := startLimitedFleet(t, 2, jobEntryMemoryMb, storageMemoryMb)
			f.awaitSingle("a single job of the largest size is accepted", func() (bool, int, string) {
				status, body := f.sendJobRequest(http.MethodPost, f.entries[0], "/jobs/submit", "single", jobOf("single", jobBytes))
				return status == http.StatusAccepted, status, string(body)
			})
			var probes []*probe
			var addresses []string
			for _, n := range f.entries {
				addresses = append(addresses, n.callersAddress())
			}
			for _, n := range append(append([]*platformNode{}, f.entries...), f.stores...) {
				probes = append(probes, startProbe(n.process, n.ip))
			}
			members := startCrowd(form.members, addresses, sendJobs(strings.ReplaceAll(form.name, " ", "-"), form.size, form.short))
			(&fleet{t: t}).awaitHold(probes[0])
			for _, n := range f.entries {
				f.awaitOrdinaryRequest(n, "beside the crowd")
			}
			members.close()
			f.await("a job is accepted after the crowd", func() bool { return f.submitJob(f.entries[1], "after", 2) == http.StatusAccepted })
			for i, p := range probes {
				if i < len(f.entries) {
					p.check(t, jobEntryMemoryMb, entryDescriptors)
				} else {
					p.check(t, storageMemoryMb, entryDescriptors)
				}
			}
		})
	}
}

// Crowds of callers that do not read what they ask for filled the memory of an entry.
func TestCrowdOfUnreadItemsFillsTheMemoryOfAnEntry(t *testing.T) {
	f := startLimitedFleet(t, 1, jobEntryMemoryMb, 0)
	entry := f.entries[0]
	// No engine serves the items, so that their bodies can be read.
	f.otherService = "unserved"
	f.replaceConfiguration()
	const job = "unserved"
	content := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", jobBytes/4*3-1024)))
	submit := fmt.Sprintf(`{"Requests":[{"Id":%q,"Path":"/other/1/x","Headers":{},"Body":%q}]}`, itemID(job, 0), content)
	f.await("the job is accepted", func() bool {
		status, _ := f.sendJobRequest(http.MethodPost, entry, "/other/submit", job, submit)
		return status == http.StatusAccepted
	})
	probe := startProbe(entry.process, entry.ip)
	head := fmt.Sprintf("GET /items/%s?Id=%s HTTP/1.1\r\nHost: %s\r\n\r\n", job, itemID(job, 0), routeHost)
	members := startCrowd(bodyCrowd, []string{entry.callersAddress()}, func(conn net.Conn, _ int) error {
		if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		_, err := io.WriteString(conn, head)
		return err
	})
	(&fleet{t: t}).awaitHold(probe)
	f.awaitOrdinaryRequest(entry, "beside the crowd")
	members.close()
	f.await("an item is read after the crowd", func() bool {
		status, body := f.sendJobRequest(http.MethodGet, entry, "/items/"+job+"?Id="+itemID(job, 0), job, "")
		return status == http.StatusOK && len(body) == jobBytes/4*3-1024
	})
	probe.check(t, jobEntryMemoryMb, entryDescriptors)
}

// A daemon without memory for a job must acknowledge one that was accepted before: a refusal would
// state that nothing of it runs.
func TestAcceptedJobIsAcknowledgedAgainWithoutMemory(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 2, 1, false)
	const tooLittle = "BRIARCROSS_CLIENT_MEMORY_BYTES=262144"
	submit := func(n *platformNode, job string) (int, string) {
		status, body := f.sendJobRequest(http.MethodPost, n, "/jobs/submit", job, jobOf(job, 4*smallJobBytes))
		return status, strings.TrimSpace(string(body))
	}
	f.await("a job is accepted", func() bool {
		status, _ := submit(f.entries[0], "accepted")
		return status == http.StatusAccepted
	})
	check := func(entry *platformNode, name, reason string) {
		if status, _ := submit(entry, "accepted"); status != http.StatusAccepted {
			t.Errorf("the accepted job got status %d at %s without memory", status, name)
		}
		if status, body := submit(entry, "new-"+name); status != http.StatusServiceUnavailable || body != reason {
			t.Errorf("a new job got status %d, %q at %s without memory", status, body, name)
		}
	}
	f.entries[1].env = []string{tooLittle}
	f.restart(f.entries[1])
	check(f.entries[1], "entry", "memory_full")
	for _, n := range f.stores {
		n.kill()
		n.env = []string{tooLittle}
		f.startNode(n, false)
	}
	f.await("storage serves again", func() bool {
		status, _ := f.readJobPage(f.entries[0], "accepted", 0)
		return status == http.StatusOK
	})
	check(f.entries[0], "storage", "storage_full")
}

// tinyJob returns a job of items that no engine serves.
func tinyJob(name string, items int) string {
	var b strings.Builder
	b.WriteString(`{"Requests":[`)
	for i := range items {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"Id":%q,"Path":"/other/1/x","Headers":{},"Body":"eA=="}`, itemID(name, i))
	}
	b.WriteString("]}")
	return b.String()
}

// What had been accepted and was not completed had no bound.
func TestCrowdOfOpenItemsFillsTheMemoryOfStorage(t *testing.T) {
	f := startLimitedFleet(t, 2, jobEntryMemoryMb, storageMemoryMb)
	f.otherService = "unserved"
	f.replaceConfiguration()
	submit := func(n *platformNode, job string) int {
		status, _ := f.sendJobRequest(http.MethodPost, n, "/other/submit", job, tinyJob(job, backlogItems))
		return status
	}
	f.await("a job is accepted", func() bool { return submit(f.entries[0], "first") == http.StatusAccepted })
	var probes []*probe
	for _, n := range f.stores {
		probes = append(probes, startProbe(n.process, n.ip))
	}
	var members sync.WaitGroup
	for member := range backlogCrowd {
		members.Go(func() {
			for i := range backlogJobs {
				submit(f.entries[member%2], fmt.Sprintf("open-%d-%d", member, i))
			}
		})
	}
	members.Wait()
	(&fleet{t: t}).awaitHold(probes[0])
	if status := submit(f.entries[1], "first"); status != http.StatusAccepted {
		t.Errorf("a job that was accepted got status %d when it came again", status)
	}
	f.awaitOrdinaryRequest(f.entries[0], "beside the open items")
	for _, p := range probes {
		p.check(t, storageMemoryMb, entryDescriptors)
	}
}

func TestJobIsRefusedWhileTooMuchIsOpen(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 1, 1, false)
	f.otherService = "unserved"
	f.replaceConfiguration()
	entry := f.entries[0]
	for _, n := range f.stores {
		n.kill()
		n.env = []string{"BRIARCROSS_MAX_OPEN_ITEMS=15"}
		f.startNode(n, false)
	}
	submit := func(job string, items int) (int, string) {
		status, body := f.sendJobRequest(http.MethodPost, entry, "/other/submit", job, tinyJob(job, items))
		return status, strings.TrimSpace(string(body))
	}
	// The backlog is empty, so that a job of any size is accepted.
	f.await("a job is accepted", func() bool {
		status, _ := submit("open", 20)
		return status == http.StatusAccepted
	})
	if status, body := submit("new", 1); status != http.StatusServiceUnavailable || body != "storage_full" {
		t.Errorf("a new job got status %d, %q", status, body)
	}
	if status, _ := submit("open", 20); status != http.StatusAccepted {
		t.Errorf("the open job got status %d when it came again", status)
	}
	if status, body := submit("many", 1001); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a job of too many items got status %d, %q", status, body)
	}
	if status, _ := f.sendJobRequest(http.MethodDelete, entry, "/lots/open", "open", ""); status != http.StatusOK {
		t.Errorf("the end of the open job got status %d", status)
	}
	f.await("a job is accepted when the backlog is empty", func() bool {
		status, _ := submit("new", 1)
		return status == http.StatusAccepted
	})
}
