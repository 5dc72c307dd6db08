package engine

// Paths of a model engine's interface beside the completion endpoints.
const (
	PathLoad        = "/load"
	PathCacheEvents = "/cache_events"
	PathCancel      = "/cancel"
	PathKVExport    = "/kv/export"
	PathOrders      = "/orders"
	PathIdentity    = "/identity"
	PathHealth      = "/healthz"
)

// Headers of a model engine's interface.
const (
	// HeaderRequestID names the request; the answer's ID is made from it.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeFrom is the number of tokens to leave out of the answer.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderKVImport is a base64 handle of an exported KV state.
	HeaderKVImport = "X-Kv-Import"
)

// CancelRequest is the body of a cancel.
type CancelRequest struct {
	ID string `json:"id"`
}

// KVExportRequest is the body of a KV export.
type KVExportRequest struct {
	ID string `json:"id"`
}

// OrderRequest is the body of an order.
type OrderRequest struct {
	FencingNumber uint64 `json:"fencing_number"`
	Kind          string `json:"kind"`
	Subject       string `json:"subject"`
	Version       string `json:"version"`
}

// OrderResponse is the answer to an order.
type OrderResponse struct {
	Done   bool   `json:"done"`
	Reason string `json:"reason"`
}

// CacheEventsResponse is the answer to a query for cache events.
type CacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to ask after next time.
	Next uint64 `json:"next"`
}
