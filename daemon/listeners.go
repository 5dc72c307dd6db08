package daemon

import "net"

// Listeners are the listeners on the two addresses of a daemon.
type Listeners struct {
	// Peers accepts connections of other daemons.
	Peers net.Listener
	// HTTP accepts connections of callers or operators.
	HTTP net.Listener
}

// OpenListeners listens on both addresses. An error names the setting of the
// address.
func (s *Settings) OpenListeners() (*Listeners, error) {
	peers, err := ListenTCP("listen", s.Listen)
	if err != nil {
		return nil, err
	}
	httpListener, err := ListenTCP("http", s.HTTP)
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	return &Listeners{Peers: peers, HTTP: httpListener}, nil
}

// Close closes both listeners.
func (l *Listeners) Close() {
	_ = l.Peers.Close()
	_ = l.HTTP.Close()
}
