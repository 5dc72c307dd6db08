package daemon

import (
	"flag"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/clientlimit"
)

const (
	// defaultMemoryBytes is the memory of a process whose limit is unknown.
	defaultMemoryBytes = 1 << 30
	// clientMemoryShare is the part of the memory of a process that requests may hold, and
	// connectionMemoryShare the part for connections with their buffers.
	clientMemoryShare     = 0.25
	connectionMemoryShare = 0.3
	// connectionBytes is the memory of a connection: its receive buffer, and the buffers and
	// stacks of its server.
	connectionBytes = receiveBufferBytes + 16<<10
	// smallRequestShare is the part of the memory of requests that is left to small ones.
	smallRequestShare = 0.25
	smallRequestBytes = 64 << 10
	// ownDescriptors is the number of descriptors that a daemon needs for files and for other
	// daemons, unless that is more than ownDescriptorShare of all.
	ownDescriptors     = 200
	ownDescriptorShare = 0.25
	// clientDescriptorShare is the part of the other descriptors for connections of clients. A
	// request needs another one for its upstream.
	clientDescriptorShare = 0.45
	// defaultMinBodyRate and defaultMaxBodyLag are far below what a working connection does.
	defaultMinBodyRate = 1 << 10
	defaultMaxBodyLag  = 30 * time.Second
	// evictableLag is how far a body has to be behind before it is given up for others.
	evictableLag = time.Second
)

// ClientSettings limit what clients may hold. Zero values are derived from the limits of the
// process.
type ClientSettings struct {
	// MemoryBytes bounds the memory that requests hold together.
	MemoryBytes int64
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MinBodyRate is the rate, in bytes a second, at which a body must arrive, and MaxBodyLag the
	// time by which it may be behind.
	MinBodyRate int64
	MaxBodyLag  time.Duration
}

// Register adds the flags of the settings to a flag set.
func (s *ClientSettings) Register(fs *flag.FlagSet) {
	fs.Int64Var(&s.MemoryBytes, "client-memory-bytes", 0, "memory that the requests of all clients may hold; 0 means a quarter of the memory of the process")
	fs.IntVar(&s.MaxConnections, "client-connections", 0, "connections that clients may have open; 0 means what the memory and the descriptors of the process allow")
	fs.Int64Var(&s.MinBodyRate, "min-body-rate", defaultMinBodyRate, "bytes a second at which the body of a request must arrive")
	fs.DurationVar(&s.MaxBodyLag, "max-body-lag", defaultMaxBodyLag, "time by which a body may be behind the minimum rate before its request is ended")
}

// Check returns an error for the first invalid setting.
func (s *ClientSettings) Check() error {
	switch {
	case s.MemoryBytes < 0:
		return NewSettingError("client-memory-bytes", "must not be negative")
	case s.MaxConnections < 0:
		return NewSettingError("client-connections", "must not be negative")
	case s.MinBodyRate < 0:
		return NewSettingError("min-body-rate", "must not be negative")
	case s.MaxBodyLag != 0 && s.MaxBodyLag < evictableLag:
		return NewSettingError("max-body-lag", "must be at least "+evictableLag.String())
	}
	return nil
}

// Limits returns the limits of clients in a process with a limit of its memory and of its
// descriptors. Zero means that a limit is unknown.
func (s *ClientSettings) Limits(memoryBytes, descriptors int64) (clientlimit.Limits, error) {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	limits := clientlimit.Limits{
		MemoryBytes: s.MemoryBytes, SmallBytes: smallRequestBytes, Connections: s.MaxConnections,
		MinBytesPerSecond: s.MinBodyRate, EvictableLag: evictableLag, MaxLag: s.MaxBodyLag,
	}
	if limits.MemoryBytes == 0 {
		limits.MemoryBytes = int64(clientMemoryShare * float64(memoryBytes))
	}
	limits.ReservedBytes = int64(smallRequestShare * float64(limits.MemoryBytes))
	if limits.Connections == 0 {
		byMemory := connectionMemoryShare * float64(memoryBytes) / connectionBytes
		limits.Connections = int(min(byMemory, clientDescriptors(usableDescriptors(descriptors))))
	}
	if limits.MinBytesPerSecond == 0 {
		limits.MinBytesPerSecond = defaultMinBodyRate
	}
	if limits.MaxLag == 0 {
		limits.MaxLag = defaultMaxBodyLag
	}
	return limits, eris.Wrap(limits.Check(), "limits of clients")
}

// clientDescriptors returns how many of the descriptors of a process clients may take.
func clientDescriptors(descriptors float64) float64 {
	return clientDescriptorShare * (descriptors - min(ownDescriptors, ownDescriptorShare*descriptors))
}

// usableDescriptors returns the lower one of a stated limit and that of the system.
func usableDescriptors(stated int64) float64 {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		// Every limit of the system is above this one.
		system.Cur = 1 << 10
	}
	if stated > 0 {
		return min(float64(stated), float64(system.Cur))
	}
	return float64(system.Cur)
}

// NewProbeClients returns the clients of a server for probes of a platform: of readiness, or of
// metrics. They send no bodies.
func NewProbeClients() *Clients {
	const connections = 64
	return NewClients(clientlimit.Limits{
		MemoryBytes: 2 * smallRequestBytes, ReservedBytes: smallRequestBytes, SmallBytes: smallRequestBytes, Connections: connections,
		MinBytesPerSecond: defaultMinBodyRate, EvictableLag: evictableLag, MaxLag: defaultMaxBodyLag,
	}, nil)
}
