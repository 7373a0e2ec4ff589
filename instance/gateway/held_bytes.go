package gateway

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// freeHeldBytes is what each request may hold of an answer that can't be relayed yet. Whole answers and events are smaller by far.
	freeHeldBytes = 16 << 10
	// maxHeldBytes bounds what all requests together hold beyond that: an eighth of the memory of the smallest gateways. Otherwise targets
	// that send bytes without end to many requests at once would end the process.
	maxHeldBytes = 24 << 20
)

// heldBytes counts what requests hold beyond freeHeldBytes.
type heldBytes struct{ total atomic.Int64 }

// reservation is the part of one request. It is not safe for concurrent use.
type reservation struct {
	held  *heldBytes
	bytes int64
}

// grow reserves what is needed to hold n bytes, and reports whether that is to be had.
func (r *reservation) grow(n int) bool {
	more := int64(n) - freeHeldBytes - r.bytes
	if more <= 0 {
		return true
	}
	if r.held.total.Add(more) > maxHeldBytes {
		r.held.total.Add(-more)
		return false
	}
	r.bytes += more
	return true
}

// append appends more to held, and reserves a larger buffer before it allocates one. It reports whether that is to be had.
func (r *reservation) append(held, more []byte) ([]byte, bool) {
	if n := len(held) + len(more); n > cap(held) {
		larger := max(2*cap(held), n)
		if !r.grow(larger) {
			return held, false
		}
		held = append(make([]byte, 0, larger), held...)
	}
	return append(held, more...), true
}

// release gives the reservation back.
func (r *reservation) release() {
	r.held.total.Add(-r.bytes)
	r.bytes = 0
}

// errHeldEnough is returned by readHeld when a body is too large to be held as a whole.
var errHeldEnough = errors.New("the answer is too large to be held until its end")

// readHeld reads a body to its end, or until it is larger than limit or the reservation can't grow. It returns what was read.
func readHeld(body io.Reader, limit int, r *reservation) ([]byte, error) {
	held := make([]byte, 0, initialHeldBytes)
	for {
		if len(held) == cap(held) {
			larger := min(2*cap(held), limit+1)
			if len(held) > limit || !r.grow(larger) {
				return held, errHeldEnough
			}
			held = append(make([]byte, 0, larger), held...)
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		switch {
		case errors.Is(err, io.EOF):
			return held, nil
		case err != nil:
			return held, err
		}
	}
}

// initialHeldBytes is above most answers.
const initialHeldBytes = 2 << 10
