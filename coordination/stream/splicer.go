// Package stream splices the response of one request from several attempts by token offset.
package stream

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxAttempts bounds the attempts of one request, and so the memory of a splicer.
const MaxAttempts = 16

// compareWindow is the number of latest tokens whose hashes are kept. A repeated token inside the window is compared
// with the one that was forwarded, which detects an attempt that answers another request.
const compareWindow = 64

// Errors of attempts. All of them end the attempt and leave the response as it is, so that it can be continued by
// another attempt.
var (
	// ErrUnknownAttempt rejects an event of an attempt that was not begun, has ended or was given up.
	ErrUnknownAttempt = errors.New("attempt is not open")
	// ErrGap reports that tokens before the offset of an event are missing. A new attempt is needed from Resume.
	ErrGap = errors.New("tokens are missing before this offset")
	// ErrDiverged reports that an attempt repeats a token with other content or ends before the offset reached.
	ErrDiverged = errors.New("attempt differs from the tokens already forwarded")
	// ErrTooManyAttempts refuses an attempt beyond MaxAttempts.
	ErrTooManyAttempts = errors.New("request has used up its attempts")
	// ErrAttemptReused refuses an attempt id that was used before.
	ErrAttemptReused = errors.New("attempt id was used before")
	// ErrFinished refuses an attempt for a response that is complete or was aborted.
	ErrFinished = errors.New("response is complete or aborted")
)

// Splicer forwards each token of one response exactly once and in order. One event holds one token; the first token
// has offset 0. Several attempts may be open at the same time. A Splicer is not safe for concurrent use.
type Splicer struct {
	next     uint64
	start    uint64
	open     map[string]bool // false once the attempt has ended
	hashes   [compareWindow]uint64
	complete bool
	abort    error
}

// New returns a splicer that expects offset 0.
func New() *Splicer { return NewAt(0) }

// NewAt returns a splicer for a caller that has received the tokens before an offset already.
func NewAt(offset uint64) *Splicer {
	return &Splicer{next: offset, start: offset, open: make(map[string]bool)}
}

// Begin opens an attempt and returns the offset from which the target has to send.
func (s *Splicer) Begin(attempt string) (offset uint64, err error) {
	if s.complete || s.abort != nil {
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

// Token takes one token and reports whether it is to be forwarded to the caller. A token that was forwarded already
// is dropped. An error ends the attempt; the token is not to be forwarded.
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
			return false, errors.Wrapf(ErrDiverged, "attempt %q at offset %d", attempt, offset)
		}
		return false, nil
	}
	*slot = hash
	s.next++
	return true, nil
}

// End takes the end marker of an attempt, with the number of tokens of the whole response. The response is complete
// only when all of them were forwarded; then all attempts are closed. An error ends the attempt.
func (s *Splicer) End(attempt string, tokens uint64) error {
	if !s.open[attempt] {
		return errors.Wrapf(ErrUnknownAttempt, "attempt %q", attempt)
	}
	s.open[attempt] = false
	if tokens > s.next {
		return errors.Wrapf(ErrGap, "attempt %q ended at offset %d, expected %d", attempt, tokens, s.next)
	}
	if tokens < s.next {
		return errors.Wrapf(ErrDiverged, "attempt %q ended at offset %d after %d tokens", attempt, tokens, s.next)
	}
	s.complete = true
	s.closeAll()
	return nil
}

// Break closes an attempt whose connection ended without an end marker or that was given up. Later events of it are
// rejected.
func (s *Splicer) Break(attempt string) {
	if s.open[attempt] {
		s.open[attempt] = false
	}
}

// Abort ends the response with an explicit error. It has no effect on a complete response, and the first error stays.
func (s *Splicer) Abort(err error) {
	if s.complete || s.abort != nil {
		return
	}
	if err == nil {
		err = errors.New("response was aborted without a cause")
	}
	s.abort = err
	s.closeAll()
}

// Resume returns the offset of the next token to be forwarded.
func (s *Splicer) Resume() uint64 { return s.next }

// NeedsAttempt reports whether the response can only be continued by another attempt.
func (s *Splicer) NeedsAttempt() bool {
	return !s.complete && s.abort == nil && s.Open() == 0
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

// Complete reports whether the end was seen after all tokens were forwarded.
func (s *Splicer) Complete() bool { return s.complete }

// Err returns the error with which the response was aborted.
func (s *Splicer) Err() error { return s.abort }

func (s *Splicer) closeAll() {
	for attempt := range s.open {
		s.open[attempt] = false
	}
}
