package stream

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// Guards against a truncated, reordered or mixed response or repeated tokens, when attempts break, skip or repeat
// tokens, send events after they were closed, end early or carry the tokens of another request.
func TestOutputIsWholeResponseOrExplicitError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &response{t: t, s: New(), length: rapid.IntRange(0, 40).Draw(t, "length")}
		for step := 0; step < 400 && !r.s.Complete() && r.s.Err() == nil; step++ {
			action := rapid.IntRange(0, 19).Draw(t, "action")
			if len(r.attempts) == 0 || r.s.NeedsAttempt() || action == 0 {
				if !r.begin() {
					break
				}
			}
			r.event(rapid.SampledFrom(r.attempts).Draw(t, "attempt"), action) // includes attempts that have ended
		}
		r.check()
	})
}

// response is one simulated response with its attempts and the forwarded tokens.
type response struct {
	t        *rapid.T
	s        *Splicer
	length   int
	attempts []*simAttempt
	out      []string
}

// simAttempt is an attempt that has sent the tokens before position. A foreign one sends the response to another
// request.
type simAttempt struct {
	id       string
	position int
	foreign  bool
}

func token(i int) string { return fmt.Sprintf("t%d.", i) }

// begin opens an attempt. If there were too many attempts, it aborts the response and returns false.
func (r *response) begin() bool {
	a := &simAttempt{id: fmt.Sprintf("a%d", len(r.attempts)), foreign: rapid.IntRange(0, 5).Draw(r.t, "foreign") == 0}
	offset, err := r.s.Begin(a.id)
	if errors.Is(err, ErrTooManyAttempts) {
		r.s.Abort(err)
		return false
	}
	if err != nil {
		r.t.Fatal(err)
	}
	a.position = int(offset)
	if a.foreign {
		a.id = "of another request"
	}
	r.attempts = append(r.attempts, a)
	return true
}

// event makes an attempt break, jump to another position, end or send its next token.
func (r *response) event(a *simAttempt, action int) {
	switch {
	case action == 1:
		r.s.CloseAttempt(a.id)
	case action == 2:
		a.position += rapid.IntRange(-3, 3).Draw(r.t, "jump")
		a.position = min(max(a.position, 0), r.length)
	case a.position == r.length || action == 3:
		if a.position == r.length || a.foreign { // only a foreign attempt sends its end marker before r.length
			_ = r.s.End(a.id, uint64(a.position))
		}
	default:
		data := token(a.position)
		if a.foreign {
			data = "foreign"
		}
		if forward, _ := r.s.Token(a.id, uint64(a.position), []byte(data)); forward {
			r.out = append(r.out, data)
		}
		a.position++
	}
}

func (r *response) check() {
	for i, got := range r.out {
		if got != token(i) {
			r.t.Fatalf("forwarded token %d is %q, want %q", i, got, token(i))
		}
	}
	if r.s.Complete() && len(r.out) != r.length {
		r.t.Fatalf("complete after %d of %d tokens", len(r.out), r.length)
	}
	if r.s.Complete() && r.s.Err() != nil {
		r.t.Fatal("the response is both complete and aborted")
	}
}

// Guards against a wrong error for each fault of a single attempt, and against a fault that changes the response.
func TestAttemptFaultIsReportedAndLeavesResponse(t *testing.T) {
	tests := []struct {
		name string
		run  func(s *Splicer) error
		want error
	}{
		{"gap", func(s *Splicer) error { _, err := s.Token("b", 3, []byte("3")); return err }, ErrGap},
		{"end after a gap", func(s *Splicer) error { return s.End("b", 3) }, ErrGap},
		{"early end", func(s *Splicer) error { return s.End("b", 1) }, ErrDiverged},
		{"other content", func(s *Splicer) error { _, err := s.Token("b", 1, []byte("x")); return err }, ErrDiverged},
		{"late event", func(s *Splicer) error { _, err := s.Token("a", 2, []byte("2")); return err }, ErrUnknownAttempt},
		{"late end", func(s *Splicer) error { return s.End("a", 2) }, ErrUnknownAttempt},
		{"reused id", func(s *Splicer) error { _, err := s.Begin("a"); return err }, ErrAttemptReused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			_, _ = s.Begin("a")
			for i := range 2 {
				if forward, err := s.Token("a", uint64(i), []byte{byte('0' + i)}); !forward || err != nil {
					t.Fatalf("token %d: forward %v, error %v", i, forward, err)
				}
			}
			s.CloseAttempt("a")
			if offset, err := s.Begin("b"); offset != 2 || err != nil {
				t.Fatalf("attempt b starts at offset %d with error %v, want 2 without error", offset, err)
			}
			if err := test.run(s); !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if s.Complete() || s.NextOffset() != 2 {
				t.Fatalf("after the fault: complete %v, next offset %d, want false and 2", s.Complete(), s.NextOffset())
			}
		})
	}
}
