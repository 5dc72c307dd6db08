package daemon

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBufferBytes is the size of the receive buffer of a client's connection.
const receiveBufferBytes = 32 << 10

// limitReceiveBuffer sets the receive buffer of a socket that is about to listen. Its connections
// inherit it.
func limitReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	var setErr error
	err := conn.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	if err != nil {
		return err
	}
	return setErr
}
