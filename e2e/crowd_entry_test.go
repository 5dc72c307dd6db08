package e2e

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/briarcross/briarcross/openai"
)

const (
	// productEntryMemory is the memory of an entry, as a setting and in MB.
	productEntryMemory   = "134217728"
	productEntryMemoryMb = 128
	// productBodyBytes is the largest body that an entry takes by default.
	productBodyBytes = 8 << 20
	productCrowd     = 40
	// productDescriptors is far above what an entry of this test needs for a crowd.
	productDescriptors = 400
)

func completionHead(path, contentType string, fields ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nContent-Type: %s\r\n", path, contentType)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + "\r\n"
}

// Crowds of unfinished bodies filled the memory of an entry.
func TestCrowdOfBodiesFillsTheMemoryOfAProductEntry(t *testing.T) {
	f := startFleet(t, fleetOptions{sidecarCount: 1, entryEnv: []string{"BRIARCROSS_MEMORY_BYTES=" + productEntryMemory}})
	entry := f.entries[0]
	short := piecesOf(productBodyBytes-1, productBodyBytes)
	line := `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"dam-watch","prompt":"`
	forms := []struct {
		name string
		head string
		body body
	}{
		{"short", completionHead(openai.PathCompletions, "application/json", lengthField(productBodyBytes)), short},
		{"short at a plain service", completionHead("/services/plain/x", "text/plain", lengthField(productBodyBytes)), short},
		{"short in chunks", completionHead(openai.PathCompletions, "application/json", chunkedField), withoutEnd(chunksOf(productBodyBytes, 16<<10))},
		{"short in small chunks", completionHead(openai.PathCompletions, "application/json", chunkedField), chunksOf(productBodyBytes-8, 8)},
		{"over the limit in chunks", completionHead(openai.PathCompletions, "application/json", chunkedField), chunksOf(2*productBodyBytes, 64<<10)},
		{"short lines of jobs", completionHead("/v1/batches", "application/jsonl", lengthField(productBodyBytes)), func(w io.Writer) error {
			if _, err := io.WriteString(w, line); err != nil {
				return err
			}
			return piecesOf(productBodyBytes-len(line)-1, 64<<10)(w)
		}},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			entry.kill()
			entry.start(t)
			f.awaitServing()
			probe := startProbe(entry, "")
			members := startCrowd(productCrowd, []string{f.address(offsetEntryHTTP, 0)}, func(conn net.Conn, _ int) error {
				if _, err := io.WriteString(conn, form.head); err != nil {
					return err
				}
				return form.body(conn)
			})
			f.awaitHold(probe)
			f.awaitCompletion("beside the crowd")
			members.close()
			f.awaitCompletion("after the crowd")
			probe.check(t, productEntryMemoryMb, productDescriptors)
		})
	}
}

// awaitHold waits until the process of a probe has been watched for holdSamples more samples.
func (f *fleet) awaitHold(p *probe) {
	f.t.Helper()
	since := p.samples.Load()
	f.await("the crowd has held what it has", func() bool { return p.holdsStill(since) })
}

func (f *fleet) awaitCompletion(when string) {
	f.t.Helper()
	f.await("an ordinary request is answered "+when, func() bool {
		_, err := f.completeAndCheck(0, "ordinary", 1)
		return err == nil
	})
}
