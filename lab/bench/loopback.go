package bench

import (
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	loopbackMessages = 2000
	loopbackBytes    = 150
)

// loopbackMessageCost returns the processor time, in microseconds, that this
// machine takes to pass one small message over a loopback connection to a
// goroutine that waits for it. It is the yardstick for costs a token.
func loopbackMessageCost() (float64, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, eris.Wrap(err, "bench: listen")
	}
	defer func() { _ = ln.Close() }()
	received := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, c)
		}
		received <- err
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return 0, eris.Wrap(err, "bench: connect")
	}
	message := make([]byte, loopbackBytes)
	before := cpuTime()
	for range loopbackMessages {
		if _, err := c.Write(message); err != nil {
			return 0, eris.Wrap(err, "bench: write")
		}
		time.Sleep(relayStep)
	}
	used := cpuTime() - before
	_ = c.Close()
	return float64(used.Microseconds()) / loopbackMessages, <-received
}
