// Package fields classifies HTTP header fields.
package fields

import "strings"

// HopByHop reports whether a header field must not be forwarded: it applies to
// one connection only (hop-by-hop), or each request sets its own (Content-Length,
// Host, Expect).
func HopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	return false
}
