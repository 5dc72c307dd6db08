package transport

import (
	"context"
	"crypto/tls"
	"net"
	"slices"

	"github.com/rotisserie/eris"
)

// Role is a role of a daemon that its certificate grants: an organizational unit
// of the certificate's subject.
type Role string

// The roles of daemons.
const (
	RoleEntry   Role = "briarcross-entry"
	RoleSidecar Role = "briarcross-sidecar"
	RoleControl Role = "briarcross-control"
)

// requiredServerRole maps a class to the role that its servers must have.
var requiredServerRole = map[Class]Role{
	Online:  RoleSidecar,
	Batch:   RoleControl,
	Control: RoleControl,
}

// peerRoles holds the roles of the peer of a connection. The peer of a plaintext
// connection has every role; such connections are accepted on loopback only.
type peerRoles struct {
	plaintext           bool
	organizationalUnits []string
}

func (r peerRoles) has(role Role) bool {
	return r.plaintext || slices.Contains(r.organizationalUnits, string(role))
}

// certificateRoles returns the roles in the certificate of a connection's peer.
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

// HasRole reports whether the peer's certificate grants a role.
func (s *Stream) HasRole(role Role) bool {
	return s.roles.has(role)
}
