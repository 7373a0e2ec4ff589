package intake

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for a body above its limit.
var ErrTooLarge = errors.New("request body exceeds the limit")

// initialBody is the first capacity of a body. Bodies of ordinary requests fit into it.
const initialBody = 16 << 10

// ReadBody reads the whole body of a request. What is allocated follows what has arrived, not the announced length, and is counted
// until the request is answered. It is counted only for requests of a server of a pool.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	switch {
	case r.ContentLength > limit:
		return nil, ErrTooLarge
	case r.ContentLength == 0 || r.Body == nil:
		return nil, nil
	}
	b := bodyReader{source: r.Body, largest: limit + 1}
	if r.ContentLength > 0 {
		b.largest = r.ContentLength
	}
	if c != nil {
		b.client = &Client{conn: c, request: c.ended.Load()}
		defer c.enter(phaseRunning)
	}
	err := b.readAll()
	switch {
	case err != nil:
	case int64(len(b.data)) > limit:
		err = ErrTooLarge
	case int64(len(b.data)) < r.ContentLength:
		err = io.ErrUnexpectedEOF
	case c != nil && len(r.Trailer) > 0:
		err = c.reserve(int64(len(r.Trailer)) * lineBytes)
	}
	if err != nil {
		return nil, err
	}
	return b.data, nil
}

type bodyReader struct {
	client  *Client // nil if the body is not counted
	source  io.Reader
	largest int64 // bytes to be read at most
	data    []byte
}

// readAll reads up to the end, or to the largest size.
func (b *bodyReader) readAll() error {
	var one [1]byte
	for int64(len(b.data)) < b.largest {
		if len(b.data) == cap(b.data) {
			probe := one[:0]
			if len(b.data) > 0 { // the body may end here, and the buffer need not grow
				n, err := b.source.Read(one[:])
				if n == 0 && errors.Is(err, io.EOF) {
					return nil
				}
				if n == 0 && err != nil {
					return err
				}
				probe = one[:n]
			}
			if err := b.grow(); err != nil {
				return err
			}
			b.data = append(b.data, probe...)
			continue
		}
		n, err := b.source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	// net/http detects that the client closes the connection only after the end of the body was read.
	if _, err := b.source.Read(one[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// grow doubles the buffer. Both buffers are counted while one is copied to the other.
func (b *bodyReader) grow() error {
	old := int64(cap(b.data))
	size := min(max(2*old, initialBody), b.largest)
	if b.client != nil {
		if err := b.client.Reserve(size); err != nil {
			return err
		}
		defer b.client.release(old)
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}
