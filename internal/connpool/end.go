package connpool

import (
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrEndedEarly means that a connection did not end in order.
var ErrEndedEarly = eris.New("connection was reset, or ended before the peer had the whole request")

// CheckEnd returns an error if the connection, of which the end has been read, did not end in
// order. The peer's kernel acknowledges all that it has received with the end of its own side at the
// latest: a peer that has read the request has acknowledged it by then. A reset that follows such
// an end can be seen in the state of the connection alone, since reads go on to return io.EOF.
func (c *Conn) CheckEnd() error {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "state of connection")
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return eris.Wrap(err, "state of connection")
	}
	if infoErr != nil {
		return eris.Wrap(infoErr, "state of connection")
	}
	if info.State != unix.BPF_TCP_CLOSE_WAIT || info.Unacked > 0 || info.Notsent_bytes > 0 {
		return ErrEndedEarly
	}
	return nil
}
