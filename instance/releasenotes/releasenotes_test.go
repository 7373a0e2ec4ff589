package releasenotes

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/coordination/replica"
	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/instance/activeconfig"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

const (
	validNote       = "number = 1\n[[caller]]\naction = \"add\"\nname = \"crew\"\nweight = 1\n"
	conflictingNote = "number = 2\n[[caller]]\naction = \"withdraw\"\nname = \"nobody\"\n"
	invalidNote     = "number = 3\nnonsense = 1\n"
)

// fakeLog is a replicated log with one voter and a memory check.
type fakeLog struct {
	view              *activeconfig.View
	index             uint64
	err               error
	appliesDespiteErr bool
	hangs             bool
	findings          []tomlfile.Finding
	// checkErr is the error of a memory check that is not possible, or nil.
	checkErr     error
	memoryChecks int
}

func (f *fakeLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if f.hangs {
		<-ctx.Done()
		return nil, replica.ErrUnknownResult
	}
	if f.err != nil && !f.appliesDespiteErr {
		return nil, f.err
	}
	f.index++
	result, err := f.view.Apply(f.index, command)
	if f.err != nil {
		return nil, f.err
	}
	return result, err
}

func (f *fakeLog) Check(context.Context, *catalog.ActiveConfig) ([]tomlfile.Finding, error) {
	f.memoryChecks++
	return f.findings, f.checkErr
}

func newService() (*Service, *fakeLog) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	recorder := events.NewRecorder(quiet, "a1", "a", time.Now)
	f := &fakeLog{view: activeconfig.New(recorder)}
	return New(f, f.view, f, recorder, time.Now), f
}

// Guards against a verdict without a majority, a submission that waits beyond verdictTimeout, and a repeat after a lost
// verdict that gets another verdict or a second memory check.
func TestNoVerdictWithoutMajority(t *testing.T) {
	for name, fault := range map[string]fakeLog{
		"no quorum":                       {err: replica.ErrNoQuorum},
		"lost verdict":                    {err: replica.ErrUnknownResult, appliesDespiteErr: true},
		"proposal times out":              {hangs: true},
		"no quorum and too little memory": {err: replica.ErrNoQuorum, findings: []tomlfile.Finding{{Message: "no memory"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, f := newService()
				f.err, f.appliesDespiteErr, f.hangs, f.findings = fault.err, fault.appliesDespiteErr, fault.hangs, fault.findings
				started := time.Now()
				verdict, result := s.Submit(t.Context(), "ops", "note.toml", []byte(validNote))
				if result == nil || result.Outcome != api.Unknown || result.Reason != api.ReasonNoQuorum || verdict.Number != 0 {
					t.Fatalf("got verdict %+v and result %+v, want none and an unknown outcome without quorum", verdict, result)
				}
				if time.Since(started) > verdictTimeout {
					t.Errorf("the submission waited %v, longer than verdictTimeout", time.Since(started))
				}
				f.err, f.hangs, f.findings, f.memoryChecks = nil, false, nil, 0
				first, result := s.Submit(t.Context(), "ops", "note.toml", []byte(validNote))
				if result != nil || !first.Accepted || fault.appliesDespiteErr && f.memoryChecks != 0 {
					t.Fatalf("repeat: verdict %+v, result %+v, %d memory checks", first, result, f.memoryChecks)
				}
				f.findings = []tomlfile.Finding{{Message: "no memory"}} // an accepted note stays accepted
				if again, _ := s.Submit(t.Context(), "ops", "note.toml", []byte(validNote)); !again.Accepted || again.Index != first.Index {
					t.Errorf("second repeat: verdict %+v, want that of the first", again)
				}
				if other, _ := s.Submit(t.Context(), "else", "note.toml", []byte(validNote+"# changed\n[[caller]]\naction=\"add\"\nname=\"x\"\nweight=1\n")); other.Accepted {
					t.Errorf("a different note with the same number was accepted: %+v", other)
				}
			})
		})
	}
}

// Guards against findings without a file name, and against a note with an invalid text that uses up its number.
func TestFindingsNameTheirFile(t *testing.T) {
	for _, test := range []struct {
		name, text string
		memory     []tomlfile.Finding
	}{
		{"invalid text", invalidNote, nil},
		{"conflict", conflictingNote, nil},
		{"too little memory", validNote, []tomlfile.Finding{{Message: "no memory"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, f := newService()
			f.findings = test.memory
			checked, result := s.Check(t.Context(), "note.toml", []byte(test.text))
			if result != nil || len(checked) == 0 || f.index != 0 {
				t.Fatalf("check: findings %v, result %+v, %d log entries", checked, result, f.index)
			}
			verdict, result := s.Submit(t.Context(), "ops", "note.toml", []byte(test.text))
			if result != nil || verdict.Accepted || len(verdict.Findings) == 0 {
				t.Fatalf("submit: got verdict %+v and result %+v, want a refusal with findings", verdict, result)
			}
			for _, finding := range append(checked, verdict.Findings...) {
				if finding.File != "note.toml" {
					t.Errorf("finding %q does not name its file", finding)
				}
			}
			if _, decided := s.Verdict(verdict.Number); decided != (test.name != "invalid text") {
				t.Errorf("the number has a verdict: %v", decided)
			}
		})
	}
}

// Guards against a note that is refused, and uses up its number, because no engine is known yet and memory can't be
// checked.
func TestNoVerdictWhileMemoryCannotBeChecked(t *testing.T) {
	s, f := newService()
	f.checkErr = errors.New("no engine is known")
	text := []byte("number = 1\n[[service]]\naction = \"add\"\nname = \"desk\"\ncallers = [\"crew\"]\n")
	if verdict, result := s.Submit(t.Context(), "ana", "n.toml", text); result == nil || result.Outcome != api.Refused || result.Retry != api.RetryAfter {
		t.Fatalf("without engines: got verdict %+v and result %+v, want a refusal to be repeated", verdict, result)
	}
	f.checkErr = nil
	if verdict, result := s.Submit(t.Context(), "ana", "n.toml", text); result != nil || !verdict.Accepted {
		t.Errorf("repeat: got verdict %+v and result %+v, want accepted", verdict, result)
	}
}
