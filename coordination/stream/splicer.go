// Package stream splices the token streams of several attempts at one request into one response, by token offset.
package stream

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxAttempts bounds the attempts of one request and thus the memory of a Splicer.
const MaxAttempts = 16

// compareWindow is the number of latest tokens whose hashes are kept. A repeated token within the window is compared
// with the forwarded one, which detects an attempt that sends the response to another request.
const compareWindow = 64

// Errors of attempts. They end or refuse the attempt, but don't change the response, so that another attempt can
// continue it.
var (
	// ErrUnknownAttempt rejects an event of an attempt that was not begun or has been closed.
	ErrUnknownAttempt = errors.New("attempt is not open")
	// ErrGap reports that tokens before the offset of an event are missing. A new attempt has to start at NextOffset.
	ErrGap = errors.New("tokens are missing before this offset")
	// ErrDiverged reports that an attempt repeats a forwarded token with other content, or ends before tokens that were
	// forwarded.
	ErrDiverged = errors.New("attempt differs from the tokens already forwarded")
	// ErrTooManyAttempts rejects an attempt beyond MaxAttempts.
	ErrTooManyAttempts = errors.Errorf("request has used up its %d attempts", MaxAttempts)
	// ErrAttemptReused rejects an attempt id that was used before.
	ErrAttemptReused = errors.New("attempt id was used before")
	// ErrFinished rejects an attempt at a response that is complete or was aborted.
	ErrFinished = errors.New("response is complete or aborted")
)

// Splicer forwards each token of one response exactly once and in order. One event holds one token; the first token
// has offset 0. Several attempts may be open at the same time. A Splicer is not safe for concurrent use.
type Splicer struct {
	next     uint64          // offset of the next token to be forwarded
	start    uint64          // offset of the first token that this splicer forwards
	open     map[string]bool // false once the attempt has ended
	hashes   [compareWindow]uint64
	complete bool
	abortErr error
}

// New returns a splicer that expects offset 0.
func New() *Splicer { return NewAt(0) }

// NewAt returns a splicer for a caller that has already received the tokens before an offset.
func NewAt(offset uint64) *Splicer {
	return &Splicer{next: offset, start: offset, open: make(map[string]bool)}
}

// Begin opens an attempt and returns the offset of the first token that the target has to send.
func (s *Splicer) Begin(attempt string) (offset uint64, err error) {
	if s.complete || s.abortErr != nil {
		return 0, ErrFinished
	}
	if _, used := s.open[attempt]; used {
		return 0, errors.Wrapf(ErrAttemptReused, "attempt %q", attempt)
	}
	if len(s.open) >= MaxAttempts {
		return 0, errors.Wrapf(ErrTooManyAttempts, "attempt %q", attempt)
	}
	s.open[attempt] = true
	return s.next, nil
}

// Token handles one token of an attempt and reports whether it is to be forwarded to the caller. A token that was
// already forwarded is dropped. After an error, the token must not be forwarded and the attempt is closed.
func (s *Splicer) Token(attempt string, offset uint64, data []byte) (forward bool, err error) {
	if !s.open[attempt] {
		return false, errors.Wrapf(ErrUnknownAttempt, "attempt %q", attempt)
	}
	if offset > s.next {
		s.open[attempt] = false
		return false, errors.Wrapf(ErrGap, "attempt %q sent offset %d, expected %d", attempt, offset, s.next)
	}
	hash := xxhash.Sum64(data)
	slot := &s.hashes[offset%compareWindow]
	if offset < s.next {
		if offset >= s.start && s.next-offset <= compareWindow && *slot != hash {
			s.open[attempt] = false
			return false, errors.Wrapf(ErrDiverged, "attempt %q sent another token at offset %d", attempt, offset)
		}
		return false, nil
	}
	*slot = hash
	s.next++
	return true, nil
}

// End handles the end marker of an attempt, which carries the number of tokens of the whole response. If all of them
// were forwarded, the response is complete and all attempts are closed. Otherwise only this attempt is closed.
func (s *Splicer) End(attempt string, tokens uint64) error {
	if !s.open[attempt] {
		return errors.Wrapf(ErrUnknownAttempt, "attempt %q", attempt)
	}
	s.open[attempt] = false
	if tokens > s.next {
		return errors.Wrapf(ErrGap, "attempt %q ended at offset %d, expected %d", attempt, tokens, s.next)
	}
	if tokens < s.next {
		return errors.Wrapf(ErrDiverged, "attempt %q ended at offset %d, but the response has reached offset %d", attempt, tokens, s.next)
	}
	s.complete = true
	s.closeAll()
	return nil
}

// CloseAttempt closes an attempt that was cancelled or whose connection ended without an end marker. Later events of
// the attempt are rejected.
func (s *Splicer) CloseAttempt(attempt string) {
	if s.open[attempt] {
		s.open[attempt] = false
	}
}

// Abort ends the response with an error. It has no effect if the response is complete or was aborted before.
func (s *Splicer) Abort(err error) {
	if s.complete || s.abortErr != nil {
		return
	}
	if err == nil {
		err = errors.New("response was aborted without a cause")
	}
	s.abortErr = err
	s.closeAll()
}

// NextOffset returns the offset of the next token to be forwarded.
func (s *Splicer) NextOffset() uint64 { return s.next }

// NeedsAttempt reports whether the response is unfinished and no attempt is open.
func (s *Splicer) NeedsAttempt() bool {
	return !s.complete && s.abortErr == nil && s.Open() == 0
}

// Open returns the number of open attempts.
func (s *Splicer) Open() int {
	n := 0
	for _, open := range s.open {
		if open {
			n++
		}
	}
	return n
}

// Complete reports whether all tokens were forwarded and an end marker has confirmed their number.
func (s *Splicer) Complete() bool { return s.complete }

// Err returns the error with which the response was aborted, or nil.
func (s *Splicer) Err() error { return s.abortErr }

func (s *Splicer) closeAll() {
	for attempt := range s.open {
		s.open[attempt] = false
	}
}
