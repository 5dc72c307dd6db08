package transport

import (
	"context"
	"crypto/tls"
	"net"
	"slices"

	"github.com/rotisserie/eris"
)

// Role is what a daemon's certificate entitles it to. It is an organizational
// unit of the certificate's subject.
type Role string

// The roles of daemons.
const (
	RoleEntry   Role = "briarcross-entry"
	RoleSidecar Role = "briarcross-sidecar"
	RoleControl Role = "briarcross-control"
)

// requiredServerRole is the role that the server of each class must have.
var requiredServerRole = map[Class]Role{
	Online:  RoleSidecar,
	Batch:   RoleControl,
	Control: RoleControl,
}

// peerRoles are the roles of the other end of a connection. A plain connection,
// which is accepted on loopback only, is entitled to everything.
type peerRoles struct {
	plaintext           bool
	organizationalUnits []string
}

func (r peerRoles) has(role Role) bool {
	return r.plaintext || slices.Contains(r.organizationalUnits, string(role))
}

// certificateRoles returns the roles in the certificate of a connection's other end.
func certificateRoles(ctx context.Context, conn net.Conn) (peerRoles, error) {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return peerRoles{plaintext: true}, nil
	}
	if err := secure.HandshakeContext(ctx); err != nil {
		return peerRoles{}, eris.Wrap(err, "TLS handshake")
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return peerRoles{}, eris.New("the other end has no certificate")
	}
	return peerRoles{organizationalUnits: certificates[0].Subject.OrganizationalUnit}, nil
}

// HasRole reports whether the other end's certificate entitles it to a role.
func (s *Stream) HasRole(role Role) bool {
	return s.roles.has(role)
}
