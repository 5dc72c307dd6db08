package entrynode

import (
	"io"
	"net/http"
	"strings"

	"github.com/briarcross/briarcross/customers"
	"github.com/briarcross/briarcross/routing"
)

// Reasons of refusals with status 401.
const (
	missingKey   = "missing_key"
	malformedKey = "malformed_key"
	unknownKey   = "unknown_key"
	// revokedKey: the key was valid when the request arrived.
	revokedKey = "revoked_key"
)

// maxDiscardedBytes limits the body of a refused request that is read to keep its
// connection.
const maxDiscardedBytes = 256 << 10

// Credentials are what a caller sent to identify its customer.
type Credentials struct {
	// Given is set if the request has credentials of any form.
	Given bool
	// Key is empty if the credentials do not consist of exactly one key.
	Key string
}

// authenticate identifies the customer of a request by its key. The customer is nil in a
// deployment without customers, and for a public request without a known key. Any other
// request without a known key is refused.
func (n *Node) authenticate(r *http.Request, table *routing.Table, public bool) (*customers.Customer, *refusal) {
	if table.Customers == nil {
		return nil, nil
	}
	credentials := n.codec.ParseCredentials(r.Header)
	reason := unknownKey
	switch {
	case !credentials.Given:
		reason = missingKey
	case !customers.ValidKey(credentials.Key):
		reason = malformedKey
	default:
		if customer, known := table.Customers.ByKey(credentials.Key); known {
			return customer, nil
		}
	}
	if public {
		return nil, nil
	}
	return nil, &refusal{reason: reason, status: http.StatusUnauthorized, routingVersion: table.Version}
}

// refuseUnread refuses a request whose body has not been read. The server on its own would
// read the body before it sends the response.
func (n *Node) refuseUnread(w http.ResponseWriter, r *http.Request, id string, f refusal) {
	if r.ContentLength == 0 {
		n.refuse(w, id, f)
		return
	}
	controller := http.NewResponseController(w)
	// A caller that expects 100 Continue must not get it after the response.
	canKeep := r.ContentLength > 0 && r.ContentLength <= maxDiscardedBytes && r.Header.Get("Expect") == ""
	if !canKeep || controller.EnableFullDuplex() != nil {
		w.Header().Set("Connection", "close")
		n.refuse(w, id, f)
		return
	}
	n.refuse(w, id, f)
	if controller.Flush() != nil {
		return
	}
	// The rest of the body must be read here: net/http breaks a full-duplex connection when
	// it reads it itself. An error means that the caller has disconnected.
	_, _ = io.Copy(io.Discard, r.Body)
}

// reauthenticate identifies the customer again if another routing table came into force
// since the last time. It returns a refusal if the key was revoked.
func (x *exchange) reauthenticate() *refusal {
	table := x.node.Table()
	if table == x.identityTable {
		return nil
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, matched := table.Match(x.request.Host, path)
	if !matched {
		route = x.route
	}
	customer, refused := x.node.authenticate(x.request, table, route.Public)
	if refused != nil {
		if x.customer != nil {
			refused.reason = revokedKey
		}
		return refused
	}
	x.customer, x.identityTable = customer, table
	return nil
}

// endRevoked ends the request after reauthenticate has refused it. Status 401 would state
// that it has not run.
func (x *exchange) endRevoked(refused refusal) {
	if x.mayHaveRunCount > 0 {
		x.fail(refused.reason)
		return
	}
	refused.elapsed = x.elapsed()
	x.refuse(refused)
}

// refuse refuses the request in the name of its customer.
func (x *exchange) refuse(f refusal) {
	f.customer = x.customerName()
	if f.route == "" {
		f.route = x.route.Name
	}
	x.node.refuse(x.w, x.headers.ID, f)
}

// nameOf returns the name of a customer, empty if it is nil.
func nameOf(customer *customers.Customer) string {
	if customer == nil {
		return ""
	}
	return customer.Name
}

// withCustomer appends the name of a customer, unless it is empty, to the fields of a log
// line.
func withCustomer(customer string, fields ...any) []any {
	if customer == "" {
		return fields
	}
	return append(fields, "customer", customer)
}
