package connpool

import (
	"net"
	"syscall"
)

// isReusable reports whether a pooled connection can be used for a request: the peer
// has neither closed it nor sent unread data. It does not consume data.
func isReusable(c net.Conn) bool {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}
