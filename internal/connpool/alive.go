package connpool

import (
	"net"
	"syscall"
)

// isIdle reports whether an idle connection can carry a request: the peer has
// neither closed it nor sent anything.
func isIdle(c net.Conn) bool {
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
