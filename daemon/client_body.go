package daemon

import (
	"errors"
	"io"
)

const (
	// firstBufferBytes is the capacity of the first buffer of a body.
	firstBufferBytes = 4 << 10
	// bufferGrowth is the factor by which the buffer of a body grows. largeBufferGrowth is that of
	// a large body of unknown length, of which the last buffer may be mostly unused.
	bufferGrowth      = 4
	largeBufferGrowth = 2
	largeBufferBytes  = 64 << 10
)

// ReadBody reads a body of a length, which is negative if it is unknown, and of at most limit
// bytes. While it is read and afterwards, each of its bytes counts as a number of bytes of memory:
// its cost. The error is one of those above, or that of the read.
func (r *ClientRequest) ReadBody(body io.Reader, length, limit, cost int64) ([]byte, error) {
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	if length > largeBufferBytes {
		if err := r.checkRoom(cost * length); err != nil {
			return nil, err
		}
	}
	capacity := length
	if length < 0 {
		capacity = limit
	}
	reader := &bodyReader{request: r, body: body, capacity: capacity, known: length >= 0, cost: cost}
	return reader.readAll()
}

// BodyMemory returns the most memory that a body of a size and a cost takes while it is read.
func BodyMemory(bytes, cost int64) int64 { return cost*bytes + bytes/largeBufferGrowth }

// bodyReader reads the body of a request into a buffer that grows as bytes arrive.
type bodyReader struct {
	request *ClientRequest
	body    io.Reader
	// capacity is the largest size of the buffer. known is set if it is the length of the body.
	capacity int64
	known    bool
	cost     int64
	buffer   []byte
}

func (b *bodyReader) readAll() ([]byte, error) {
	var excess [1]byte
	for {
		space := b.buffer[len(b.buffer):cap(b.buffer)]
		full := int64(len(b.buffer)) == b.capacity
		if full {
			space = excess[:]
		} else if len(space) == 0 {
			if err := b.grow(); err != nil {
				return nil, err
			}
			continue
		}
		n, err := b.body.Read(space)
		if n > 0 {
			b.request.Receive(n)
		}
		if full && n > 0 {
			return nil, ErrBodyTooLarge
		}
		b.buffer = b.buffer[:len(b.buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b.buffer, b.request.Complete()
		case err != nil:
			return nil, errors.Join(b.request.Evicted(), err)
		}
	}
}

// grow replaces the buffer by a larger one. While it is copied, both count.
func (b *bodyReader) grow() error {
	old := int64(cap(b.buffer))
	factor := int64(bufferGrowth)
	if !b.known && old >= largeBufferBytes {
		factor = largeBufferGrowth
	}
	size := min(max(firstBufferBytes, factor*old), b.capacity)
	if err := b.request.Grow(b.cost*(size-old) + old); err != nil {
		return err
	}
	buffer := make([]byte, len(b.buffer), size)
	copy(buffer, b.buffer)
	b.buffer = buffer
	b.request.Shrink(old)
	return nil
}
