package bench

import (
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	loopbackMessages     = 2000
	loopbackMessageBytes = 150
)

// loopbackMessageCPU returns the processor time, in microseconds, that this
// machine needs to send one small message over a loopback connection to a
// goroutine that waits for it. It is the reference for processor time per token.
func loopbackMessageCPU() (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, eris.Wrap(err, "bench: listen for loopback messages")
	}
	defer func() { _ = listener.Close() }()
	received := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, c)
		}
		received <- err
	}()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, eris.Wrap(err, "bench: connect to the loopback listener")
	}
	message := make([]byte, loopbackMessageBytes)
	before := cpuTime()
	for range loopbackMessages {
		if _, err := c.Write(message); err != nil {
			return 0, eris.Wrap(err, "bench: write a loopback message")
		}
		time.Sleep(relayStepTime)
	}
	used := cpuTime() - before
	_ = c.Close()
	return float64(used.Microseconds()) / loopbackMessages, <-received
}
