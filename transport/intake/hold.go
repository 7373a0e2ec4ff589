package intake

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// Client is the client of one request. What is held for it besides its head and body, such as the answer of a target, is counted until
// the request is answered. The zero value counts nothing.
type Client struct {
	conn    *Conn
	request int64 // number of the request on its connection
}

type clientKey struct{}

// ClientOf returns the client of a request that is being served, from the context of the request or one made by WithClient.
func ClientOf(ctx context.Context) Client {
	if client, ok := ctx.Value(clientKey{}).(Client); ok {
		return client
	}
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return Client{}
	}
	return Client{conn: c, request: c.ended.Load()}
}

// WithClient returns a context for work that may go on after its request.
func WithClient(ctx context.Context, client Client) context.Context {
	return context.WithValue(ctx, clientKey{}, client)
}

// Reserve counts n more bytes for the client until its request is answered, and waits until there is room. It returns ErrFull if
// there is none in time, ErrTooLarge if there never will be.
func (c Client) Reserve(n int64) error {
	if c.conn == nil {
		return nil
	}
	return c.conn.reserveFor(c.request, n)
}

func (c Client) release(n int64) {
	c.conn.endMu.Lock()
	defer c.conn.endMu.Unlock()
	if c.conn.ended.Load() == c.request {
		c.conn.release(n)
	}
}

// Refused reports whether an error says that a client gets no room, or was closed in favour of others.
func Refused(err error) bool { return errors.Is(err, ErrFull) || errors.Is(err, errClosed) }

// ReadAll reads what is held for the client of a request. size is the announced length, which only bounds the buffer; it is negative if
// there is none. ReadAll returns ErrTooLarge if the source has more than limit bytes.
func ReadAll(ctx context.Context, source io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	b := bodyReader{source: source, largest: limit + 1}
	if client := ClientOf(ctx); client.conn != nil {
		b.client = &client
	}
	if size >= 0 {
		b.largest = size
	}
	if err := b.readAll(); err != nil {
		return nil, err
	}
	if int64(len(b.data)) > limit {
		return nil, ErrTooLarge
	}
	return b.data, nil
}
