package daemon

import (
	"crypto/tls"
	"net"
	"slices"

	"github.com/valyala/fasthttp"
)

// RoleOperator is the organizational unit of operators' certificates.
const RoleOperator = "briarcross-operator"

// Guard decides which requests may use the operators' paths of a daemon. The
// zero value allows all requests, for unencrypted HTTP on loopback.
type Guard struct {
	// Tokens are the operators' bearer tokens; nil accepts none.
	Tokens *Tokens
	// Certificates is set if client certificates with RoleOperator are accepted.
	Certificates bool
}

// NewGuard returns the guard for the settings. It accepts operators'
// certificates if the HTTP interface uses TLS.
func (s *Settings) NewGuard() (*Guard, error) {
	tokens, err := LoadTokens(s.Operators)
	if err != nil {
		return nil, err
	}
	return &Guard{Tokens: tokens, Certificates: s.httpUsesTLS()}, nil
}

// Allows reports whether a request comes from an operator.
func (g *Guard) Allows(ctx *fasthttp.RequestCtx) bool {
	if g.Tokens == nil && !g.Certificates {
		return true
	}
	if g.Tokens != nil {
		if _, known := g.Tokens.Identify(ctx); known {
			return true
		}
	}
	return g.Certificates && hasRole(ctx.Conn(), RoleOperator)
}

// connWrapper is a connection that wraps another one.
type connWrapper interface {
	NetConn() net.Conn
}

// hasRole reports whether the verified client certificate of a TLS connection
// has a role as an organizational unit.
func hasRole(conn net.Conn, role string) bool {
	tlsConn, ok := conn.(*tls.Conn)
	if wrapped, wraps := conn.(connWrapper); !ok && wraps {
		tlsConn, ok = wrapped.NetConn().(*tls.Conn)
	}
	if !ok {
		return false
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	return len(certificates) > 0 && slices.Contains(certificates[0].Subject.OrganizationalUnit, role)
}
