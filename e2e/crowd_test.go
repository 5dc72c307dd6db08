package e2e

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdWriteTimeout ends a member whose server neither reads nor closes.
	crowdWriteTimeout = 30 * time.Second
	probeInterval     = 20 * time.Millisecond
	// holdSamples is the number of samples for which a crowd holds what it has.
	holdSamples = 50
)

// crowd is a number of clients that each open a connection, send a request and keep the
// connection open until the crowd is closed.
type crowd struct {
	mu      sync.Mutex
	conns   []net.Conn
	senders sync.WaitGroup
}

// startCrowd starts members that each call send with a connection of their own. It returns
// once all have sent what they send or have failed to.
func startCrowd(members int, addresses []string, send func(conn net.Conn, member int) error) *crowd {
	c := &crowd{}
	for member := range members {
		c.senders.Go(func() {
			conn, err := net.DialTimeout("tcp", addresses[member%len(addresses)], crowdWriteTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if conn.SetDeadline(time.Now().Add(crowdWriteTimeout)) == nil {
				// A server may refuse a member, or close its connection.
				_ = send(conn, member)
			}
		})
	}
	c.senders.Wait()
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// body writes the body of a request, without its head.
type body func(w io.Writer) error

// piecesOf writes a body of a size in pieces, as a request with a length sends it.
func piecesOf(size, piece int) body {
	return func(w io.Writer) error {
		buffer := bytes.Repeat([]byte("x"), piece)
		for size := size; size > 0; size -= piece {
			if _, err := w.Write(buffer[:min(size, piece)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunksOf writes a body of a size in chunks. The last chunk, which ends the body, is not sent.
func chunksOf(size, chunk int) body {
	const writeBytes = 64 << 10
	encoded := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	perWrite := max(1, writeBytes/len(encoded))
	return func(w io.Writer) error {
		buffer := []byte(strings.Repeat(encoded, perWrite))
		for chunks := size / chunk; chunks > 0; chunks -= perWrite {
			if _, err := w.Write(buffer[:len(encoded)*min(chunks, perWrite)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// withoutEnd leaves out the last byte of a chunk, so that the chunk itself stops short.
func withoutEnd(whole body) body {
	return func(w io.Writer) error {
		var all bytes.Buffer
		if err := whole(&all); err != nil {
			return err
		}
		_, err := w.Write(all.Bytes()[:all.Len()-len("x\r\n")])
		return err
	}
}

func requestHead(path, id string, fields ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3500\r\n", path, routeHost, headerID, id, headerDeadlineMs)
	return head + strings.Join(append(fields, "\r\n"), "\r\n")
}

func lengthField(size int) string { return "Content-Length: " + strconv.Itoa(size) }

const chunkedField = "Transfer-Encoding: chunked"

// sendTo returns the send function of members that send a request to a path.
func sendTo(path, name string, b body, fields ...string) func(net.Conn, int) error {
	return func(conn net.Conn, member int) error {
		if _, err := io.WriteString(conn, requestHead(path, fmt.Sprintf("%s-%d", name, member), fields...)); err != nil {
			return err
		}
		return b(conn)
	}
}

// andRead makes members read one response after they have sent.
func andRead(send func(net.Conn, int) error) func(net.Conn, int) error {
	return func(conn net.Conn, member int) error {
		if err := send(conn, member); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

// probe watches the memory and the descriptors of a process. Bytes that have arrived at its
// address and that it has not read count as its memory.
type probe struct {
	process *process
	// ip is the address of the process, empty if others have the same.
	ip   string
	stop chan struct{}
	done sync.WaitGroup
	// peakBytes and peakDescriptors are the most that was seen.
	peakBytes       int64
	peakDescriptors int
	samples         atomic.Int32
}

func startProbe(p *process, ip string) *probe {
	pr := &probe{process: p, ip: ip, stop: make(chan struct{})}
	pr.done.Go(func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			pr.sample()
			select {
			case <-ticker.C:
			case <-pr.stop:
				return
			}
		}
	})
	return pr
}

func (p *probe) pid() int { return p.process.command.Process.Pid }

func (p *probe) sample() {
	p.peakBytes = max(p.peakBytes, statusBytes(p.pid(), "VmRSS")+unreadBytes(p.ip), statusBytes(p.pid(), "VmHWM"))
	if descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid())); err == nil {
		p.peakDescriptors = max(p.peakDescriptors, len(descriptors))
	}
	p.samples.Add(1)
}

// holdsStill reports whether the process has been watched for holdSamples samples since a number
// of them.
func (p *probe) holdsStill(since int32) bool { return p.samples.Load() >= since+holdSamples }

// check ends the watch. It reports the process as failed if it has ended, or has exceeded a limit.
func (p *probe) check(t *testing.T, memoryMb, descriptors int) {
	t.Helper()
	close(p.stop)
	p.done.Wait()
	t.Logf("%s: peak memory %d MB of %d, peak descriptors %d of %d", p.process.name, p.peakBytes>>20, memoryMb, p.peakDescriptors, descriptors)
	select {
	case <-p.process.exited:
		t.Errorf("%s has ended", p.process.name)
	default:
	}
	if p.peakBytes > int64(memoryMb)<<20 {
		t.Errorf("%s: peak memory is %d MB, more than %d MB", p.process.name, p.peakBytes>>20, memoryMb)
	}
	if p.peakDescriptors > descriptors {
		t.Errorf("%s: %d descriptors were open, more than %d", p.process.name, p.peakDescriptors, descriptors)
	}
}

// statusBytes returns a size in the kernel's status of a process, zero if it has ended.
func statusBytes(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes in the receive queues of the TCP connections of an IPv4 address.
func unreadBytes(ip string) int64 {
	if ip == "" {
		return 0
	}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const established = "01"
	prefix := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(net.ParseIP(ip).To4()))
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] != established {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		size, _ := strconv.ParseInt(unread, 16, 64)
		total += size
	}
	return total
}
