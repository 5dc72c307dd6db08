package engine

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/internal/connpool"
	"github.com/briarcross/briarcross/pb"
)

// ErrNotSupported is returned by calls that a plain service does not support.
var ErrNotSupported = eris.New("engine: a plain service does not support this call")

type plainClient struct {
	pool *connpool.Pool
}

// NewPlainClient returns a client of a plain HTTP service. It relays method,
// status, bodies and all but hop-by-hop headers unchanged.
func NewPlainClient(base string, o Options) Client {
	return &plainClient{pool: newPool(base, o.withDefaults())}
}

// Run implements Client.
func (p *plainClient) Run(ctx context.Context, request Request, sink func(ResponsePart) error) Result {
	x := newExchange(p.pool, request.ID)
	fillRequest(x, request, request.Body)
	if err := x.send(ctx); err != nil {
		result := Result{Sent: x.sent, Err: firstError(ctx, err)}
		x.release(false)
		return result
	}
	result := Result{Sent: true, Status: x.response.Status}
	err := sink(ResponseHead{Status: result.Status, Headers: responseHeaders(x.response.Header)})
	if err == nil {
		err = relayBody(x, sink)
	}
	result.Complete = err == nil
	if err != nil {
		result.Err = firstError(ctx, err)
	}
	x.release(result.Complete)
	return result
}

// maxPieceBytes bounds the payload of one ResponseData of a body that is no
// event stream.
const maxPieceBytes = 32 << 10

// relayBody passes the response body to the sink in pieces.
func relayBody(x *exchange, sink func(ResponsePart) error) error {
	body := x.response.Body
	buffer := make([]byte, maxPieceBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			piece := append([]byte(nil), buffer[:n]...)
			if sinkErr := sink(ResponseData{Payload: piece}); sinkErr != nil {
				return sinkErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "engine: read body")
		}
	}
}

// Load implements Client.
func (p *plainClient) Load(context.Context) (Load, error) { return Load{}, ErrNotSupported }

// SendOrder implements Client.
func (p *plainClient) SendOrder(context.Context, *pb.Order) OrderResult {
	return OrderResult{Outcome: OrderNotSent, Reason: "not supported", Err: ErrNotSupported}
}

// ExportKV implements Client.
func (p *plainClient) ExportKV(context.Context, string) ([]byte, error) { return nil, ErrNotSupported }

// Identity implements Client. A plain service has no identity endpoint.
func (p *plainClient) Identity(context.Context) (Identity, error) { return Identity{}, ErrNotSupported }

// CacheEvents implements Client.
func (p *plainClient) CacheEvents(context.Context, uint64) ([]CacheEvent, uint64, error) {
	return nil, 0, ErrNotSupported
}

// DroppedChunks implements Client.
func (p *plainClient) DroppedChunks() uint64 { return 0 }

// Close implements Client.
func (p *plainClient) Close() { p.pool.Close() }
