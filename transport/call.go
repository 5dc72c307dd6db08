package transport

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/pb"
)

// Call sends one envelope on a new stream and returns the response. It returns
// when the context ends, even if the server doesn't read. Sent is false only if
// it is certain that the envelope was not sent.
func (c *Client) Call(ctx context.Context, class Class, address string, e *pb.Envelope) (response *pb.Envelope, sent bool, err error) {
	stream, err := c.Open(ctx, class, address)
	if err != nil {
		return nil, false, err
	}
	type callResult struct {
		response *pb.Envelope
		err      error
	}
	result := make(chan callResult, 1)
	go func() {
		response, err := stream.sendAndReceive(e)
		result <- callResult{response, err}
	}()
	// Close may block while the write buffer of the connection is full.
	defer func() { go func() { _ = stream.Close() }() }()
	select {
	case r := <-result:
		return r.response, !errors.Is(r.err, ErrNotEncoded), r.err
	case <-ctx.Done():
		return nil, true, eris.Wrapf(ctx.Err(), "call %s", address)
	}
}

func (s *Stream) sendAndReceive(e *pb.Envelope) (*pb.Envelope, error) {
	if err := s.Send(e); err != nil {
		return nil, err
	}
	return s.Receive()
}
