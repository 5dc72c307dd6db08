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
// machine takes to pass one small message over a loopback connection to a
// goroutine that waits for it. It is the yardstick for costs a token.
func loopbackMessageCPU() (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, eris.Wrap(err, "bench: listen")
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
		return 0, eris.Wrap(err, "bench: connect")
	}
	message := make([]byte, loopbackMessageBytes)
	before := cpuTime()
	for range loopbackMessages {
		if _, err := c.Write(message); err != nil {
			return 0, eris.Wrap(err, "bench: write")
		}
		time.Sleep(relayStepTime)
	}
	used := cpuTime() - before
	_ = c.Close()
	return float64(used.Microseconds()) / loopbackMessages, <-received
}
