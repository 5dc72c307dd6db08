package engine

import (
	"context"
	"encoding/json"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/pb"
)

// statusError is a response with a status of 400 or above.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string {
	return "engine: status " + strconv.Itoa(e.status) + ": " + string(e.body)
}

// notSentError wraps the error of a request of which no byte left the process.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// callJSON sends body as JSON and decodes the JSON response into result. A nil
// body is not sent; with a nil result, the response is not decoded.
func (c *modelClient) callJSON(ctx context.Context, method, path string, body, result any) error {
	ctx, stop := context.WithTimeout(ctx, c.options.CallTimeout)
	defer stop()
	x := newExchange(c.pool, "call-"+strconv.FormatUint(c.lastCall.Add(1), 10))
	x.request.Header.SetMethod(method)
	x.request.SetRequestURI("http://" + c.pool.Address() + path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			x.release(false)
			return eris.Wrap(err, "engine: encode request")
		}
		x.request.Header.SetContentType("application/json")
		x.request.SetBodyRaw(encoded)
	}
	if err := x.send(ctx); err != nil {
		sent := x.sent
		x.release(false)
		err = firstError(ctx, err)
		if !sent {
			return &notSentError{err}
		}
		return err
	}
	responseBody, err := io.ReadAll(io.LimitReader(x.response.Body, int64(c.options.MaxResponseBytes)+1))
	if err == nil && len(responseBody) > c.options.MaxResponseBytes {
		err = eris.New("engine: answer is too large")
	}
	status := x.response.Status
	x.release(err == nil)
	if err != nil {
		return firstError(ctx, err)
	}
	if status >= 400 {
		return &statusError{status: status, body: responseBody}
	}
	if result == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(responseBody, result), "engine: decode answer")
}

// Load implements Client.
func (c *modelClient) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.callJSON(ctx, "GET", PathLoad, nil, &load)
	return load, err
}

// SendOrder implements Client.
func (c *modelClient) SendOrder(ctx context.Context, order *pb.Order) OrderResult {
	request := OrderRequest{
		FencingNumber: order.GetFencingNumber(),
		Kind:          order.GetKind().String(),
		Subject:       order.GetSubject(),
		Version:       order.GetVersion(),
	}
	var response OrderResponse
	err := c.callJSON(ctx, "POST", PathOrders, request, &response)
	var status *statusError
	var notSent *notSentError
	switch {
	case eris.As(err, &notSent):
		return OrderResult{Outcome: OrderNotSent, Err: err}
	case eris.As(err, &status) && status.status < 500:
		return OrderResult{Outcome: OrderRefused, Reason: identifier.Message(string(status.body)), Err: err}
	case err != nil:
		return OrderResult{Outcome: OrderOutcomeUnknown, Err: err}
	case !response.Done:
		return OrderResult{Outcome: OrderRefused, Reason: identifier.Message(response.Reason)}
	}
	return OrderResult{Outcome: OrderDone}
}

// ExportKV implements Client.
func (c *modelClient) ExportKV(ctx context.Context, id string) ([]byte, error) {
	var response struct {
		Handle []byte `json:"handle"`
	}
	err := c.callJSON(ctx, "POST", PathKVExport, KVExportRequest{ID: id}, &response)
	return response.Handle, err
}

// Identity implements Client.
func (c *modelClient) Identity(ctx context.Context) (Identity, error) {
	var identity Identity
	err := c.callJSON(ctx, "GET", PathIdentity, nil, &identity)
	return identity, err
}

// CacheEvents implements Client.
func (c *modelClient) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error) {
	var response CacheEventsResponse
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.callJSON(ctx, "GET", path, nil, &response)
	if err != nil {
		return nil, after, err
	}
	return response.Events, response.Next, nil
}
