package engine

// HTTP paths of a model engine besides the completion endpoints.
const (
	PathLoad        = "/load"
	PathCacheEvents = "/cache_events"
	PathCancel      = "/cancel"
	PathKVExport    = "/kv/export"
	PathOrders      = "/orders"
	PathIdentity    = "/identity"
	PathHealth      = "/healthz"
)

// HTTP headers of a request to a model engine.
const (
	// HeaderRequestID identifies the request; the response ID is derived from
	// it.
	HeaderRequestID = "X-Request-Id"
	// HeaderResumeFrom is the number of leading tokens to leave out of the
	// response.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderKVImport is the base64-encoded handle of exported KV state.
	HeaderKVImport = "X-Kv-Import"
)

// CancelRequest is the body of a request to PathCancel.
type CancelRequest struct {
	ID string `json:"id"`
}

// KVExportRequest is the body of a request to PathKVExport.
type KVExportRequest struct {
	ID string `json:"id"`
}

// OrderRequest is the body of a request to PathOrders.
type OrderRequest struct {
	FencingNumber uint64 `json:"fencing_number"`
	Kind          string `json:"kind"`
	Subject       string `json:"subject"`
	Version       string `json:"version"`
}

// OrderResponse is the response to an OrderRequest.
type OrderResponse struct {
	Done   bool   `json:"done"`
	Reason string `json:"reason"`
}

// CacheEventsResponse is the response of PathCacheEvents.
type CacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to pass in the next query.
	Next uint64 `json:"next"`
}
