package intake

import (
	"context"
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Client is the client of one request. What is held for it besides its head and body, such as the answer of a target, is counted until
// the request is answered. The zero value counts nothing.
type Client struct {
	conn    *Conn
	request int64         // number of the request on its connection
	late    *atomic.Int64 // bytes that were counted after the end of the request, nil if none may be, see Outlive
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

// Outlive returns the client for work whose result is needed also if the request ends or its connection is closed first. What the work
// holds from then on is counted until done is called.
func (c Client) Outlive() (client Client, done func()) {
	if c.conn == nil {
		return c, func() {}
	}
	late := new(atomic.Int64)
	c.late = late
	return c, func() { c.conn.pool.used.Add(-late.Swap(0)) }
}

// Reserve counts n more bytes for the client until its request is answered, and waits until there is room. It returns ErrFull if
// there is none in time, ErrTooLarge if there never will be.
func (c Client) Reserve(n int64) error {
	if c.conn == nil {
		return nil
	}
	err := c.conn.reserveFor(c.request, n)
	if c.late == nil || !errors.Is(err, errClosed) {
		return err
	}
	return c.reserveLate(n)
}

// reserveLate counts n more bytes without a connection, and waits until they fit into the part of clients that hold much.
func (c Client) reserveLate(n int64) error {
	p := c.conn.pool
	bound := p.budget
	if bound != math.MaxInt64 {
		bound = int64(largeShare * float64(bound))
	}
	for deadline := time.Now().Add(p.opts.Times.Room); ; time.Sleep(pollInterval) {
		if p.used.Add(n) <= bound {
			c.late.Add(n)
			return nil
		}
		p.used.Add(-n)
		if !time.Now().Before(deadline) {
			p.limits[limitRefused].act()
			return ErrFull
		}
	}
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
