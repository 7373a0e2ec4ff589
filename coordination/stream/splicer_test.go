package stream

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// Guards against a truncated, reordered, repeated or mixed-up response: attempts break, skip, repeat, arrive late after
// they were given up, end early or carry the tokens of another request.
func TestOutputIsWholeResponseOrExplicitError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 40).Draw(t, "length")
		token := func(i int) string { return fmt.Sprintf("t%d.", i) }
		type attempt struct {
			id       string
			position int
			foreign  bool
		}
		s := New()
		var attempts []*attempt
		var out []string
		for step := 0; step < 400 && !s.Complete() && s.Err() == nil; step++ {
			action := rapid.IntRange(0, 19).Draw(t, "action")
			if len(attempts) == 0 || s.NeedsAttempt() || action == 0 {
				a := &attempt{id: fmt.Sprintf("a%d", len(attempts)), foreign: rapid.IntRange(0, 5).Draw(t, "foreign") == 0}
				offset, err := s.Begin(a.id)
				if errors.Is(err, ErrTooManyAttempts) {
					s.Abort(err)
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				a.position = int(offset)
				if a.foreign {
					a.id = "of another request"
				}
				attempts = append(attempts, a)
			}
			a := rapid.SampledFrom(attempts).Draw(t, "attempt") // includes attempts that have ended
			switch {
			case action == 1:
				s.Break(a.id)
			case action == 2:
				a.position += rapid.IntRange(-3, 3).Draw(t, "jump")
				a.position = min(max(a.position, 0), length)
			case a.position == length || action == 3:
				if a.position == length || a.foreign { // a target of this request marks the end only at the end
					_ = s.End(a.id, uint64(a.position))
				}
			default:
				data := token(a.position)
				if a.foreign {
					data = "foreign"
				}
				if forward, _ := s.Token(a.id, uint64(a.position), []byte(data)); forward {
					out = append(out, data)
				}
				a.position++
			}
		}
		for i, got := range out {
			if got != token(i) {
				t.Fatalf("token %d is %q", i, got)
			}
		}
		if s.Complete() && len(out) != length {
			t.Fatalf("complete after %d of %d tokens", len(out), length)
		}
		if s.Complete() && s.Err() != nil {
			t.Fatal("both complete and aborted")
		}
	})
}

// Guards against the wrong reaction to each fault of a single attempt.
func TestFaultsOfAnAttempt(t *testing.T) {
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
					t.Fatalf("token %d: %v, %v", i, forward, err)
				}
			}
			s.Break("a")
			if offset, err := s.Begin("b"); offset != 2 || err != nil {
				t.Fatalf("resumed from %d, %v", offset, err)
			}
			if err := test.run(s); !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if s.Complete() || s.Resume() != 2 {
				t.Fatalf("complete %v at offset %d", s.Complete(), s.Resume())
			}
		})
	}
}
