package daemon

import "net"

// Listeners are the two addresses at which a daemon is reached.
type Listeners struct {
	// Peers accepts other daemons.
	Peers net.Listener
	// HTTP accepts callers or operators.
	HTTP net.Listener
}

// OpenListeners listens on both addresses. The error names the setting.
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

// Close stops listening on both.
func (l *Listeners) Close() {
	_ = l.Peers.Close()
	_ = l.HTTP.Close()
}
