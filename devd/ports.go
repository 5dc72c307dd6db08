package devd

import (
	"net"
	"strconv"
)

// portAllocator allocates loopback addresses with consecutive ports.
type portAllocator struct {
	next int
}

func (p *portAllocator) allocate() string {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
	p.next++
	return address
}

func (p *portAllocator) allocateMany(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = p.allocate()
	}
	return addresses
}

// FreeBasePort returns the first of count consecutive ports that are free for
// TCP and UDP.
func FreeBasePort(count int) int {
	const first = 20000
	return FreeBasePortFrom(first, count)
}

// FreeBasePortFrom is like FreeBasePort, but searches from the port first. If
// none is found, it returns first.
func FreeBasePortFrom(first, count int) int {
	const last = 60000
	for base := first; base+count < last; base += count {
		if portsFree(base, count) {
			return base
		}
	}
	return first
}

func portsFree(base, count int) bool {
	for port := base; port < base+count; port++ {
		if !portFree(port) {
			return false
		}
	}
	return true
}

func portFree(port int) bool {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
