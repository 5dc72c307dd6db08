// Package fields knows which HTTP header fields concern one connection only.
package fields

import "strings"

// HopByHop reports whether a header concerns one connection only, or is set
// anew for each.
func HopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	return false
}
