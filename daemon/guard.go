package daemon

import (
	"crypto/tls"
	"net"
	"slices"

	"github.com/valyala/fasthttp"
)

// RoleOperator is the organizational unit of operators' certificates.
const RoleOperator = "briarcross-operator"

// Guard decides who may use the operators' paths of a daemon. The zero value
// lets everybody in, which fits plain HTTP on loopback.
type Guard struct {
	// Tokens are the operators' tokens; nil accepts none.
	Tokens *Tokens
	// Certificates accepts certificates with RoleOperator.
	Certificates bool
}

// NewGuard returns the guard that the settings ask for.
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

// connWrapper is a connection around another one.
type connWrapper interface {
	NetConn() net.Conn
}

// hasRole reports whether the verified certificate of the other end has a role.
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
