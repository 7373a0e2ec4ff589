// Package releasenotes submits release notes of operators to the replicated log and returns their verdicts.
package releasenotes

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/events"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/releasenote"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/state/catalog"
)

const (
	// verdictTimeout covers an election and a few round trips.
	verdictTimeout = 8 * time.Second
	retryAfter     = 2 * time.Second
)

// Log proposes commands to the replicated log and returns their results.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Feasibility checks a note against the memory of the targets.
type Feasibility interface {
	Check(ctx context.Context, next *catalog.ActiveConfig) ([]tomlfile.Finding, error)
}

// ConfigSource provides the configuration and the verdicts of the release notes applied on this instance.
type ConfigSource interface {
	Contents() *catalog.ActiveConfig
	Verdict(number uint64) (catalog.Verdict, bool)
	History() []catalog.Verdict
}

// Service handles release notes of operators.
type Service struct {
	log         Log
	config      ConfigSource
	feasibility Feasibility
	recorder    *events.Recorder
	now         func() time.Time
}

// New returns a Service.
func New(log Log, config ConfigSource, feasibility Feasibility, recorder *events.Recorder, now func() time.Time) *Service {
	return &Service{log: log, config: config, feasibility: feasibility, recorder: recorder, now: now}
}

// Submit submits a note and returns its verdict. A note whose own text has findings is refused without using up its
// number. A missing verdict does not mean that the note was refused; the same submission can be repeated.
func (s *Service) Submit(ctx context.Context, operator, file string, data []byte) (catalog.Verdict, *api.Result) {
	note, findings := releasenote.Parse(file, data)
	digest := releasenote.Digest(data)
	if len(findings) > 0 {
		return catalog.Verdict{Number: noteNumber(note), Digest: digest, Operator: operator, AtMs: s.now().UnixMilli(), Findings: findings}, nil
	}
	submission := catalog.Submission{Note: *note, Digest: digest, Operator: operator, AtMs: s.now().UnixMilli()}
	if _, decided := s.config.Verdict(note.Number); !decided {
		// A number that already has a verdict keeps it, even if the memory of the targets has changed since.
		findings, err := s.checkFeasibility(ctx, note)
		if err != nil {
			return catalog.Verdict{}, cannotCheck(err)
		}
		submission.Findings = findings
	}
	command, err := cbor.Marshal(submission)
	if err != nil {
		return catalog.Verdict{}, api.Refuse(api.ReasonMalformedRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	result, err := s.log.Propose(ctx, command)
	if err == nil {
		var verdict catalog.Verdict
		if verdict, err = catalog.DecodeVerdict(result); err == nil {
			return s.withFileName(file, verdict), nil
		}
	}
	s.recorder.Record(events.NoVerdict, events.Fields{"note": note.Number, "error": err.Error()})
	return catalog.Verdict{}, noVerdict(err)
}

func noteNumber(note *releasenote.Note) uint64 {
	if note == nil {
		return 0
	}
	return note.Number
}

// withFileName adds the file name to the findings of a verdict from the log.
func (s *Service) withFileName(file string, v catalog.Verdict) catalog.Verdict {
	findings := make([]tomlfile.Finding, len(v.Findings))
	for i, f := range v.Findings {
		f.File = file
		findings[i] = f
	}
	v.Findings = findings
	return v
}

func (s *Service) checkFeasibility(ctx context.Context, note *releasenote.Note) ([]tomlfile.Finding, error) {
	next, findings := catalog.Check(s.config.Contents(), note)
	if len(findings) > 0 {
		// These findings are reported by the log, which checks the note against the contents at its own position.
		return nil, nil
	}
	return s.feasibility.Check(ctx, next)
}

// cannotCheck refuses a submission before it reaches the log. Its number is not used up.
func cannotCheck(err error) *api.Result {
	return api.RefuseWithRetry(api.ReasonNoTarget, retryAfter, "no verdict; submit the note again: "+err.Error())
}

// noVerdict reports a submission whose result is unknown.
func noVerdict(err error) *api.Result {
	return &api.Result{
		Outcome: api.Unknown, Reason: api.ReasonNoQuorum, Retry: api.RetryAfter, RetryAfter: retryAfter,
		Message: errors.Wrap(err, "no verdict; submitting the same note again is safe").Error(),
	}
}

// Check lists all findings of a note without submitting it.
func (s *Service) Check(ctx context.Context, file string, data []byte) (tomlfile.Findings, *api.Result) {
	note, findings := releasenote.Parse(file, data)
	if len(findings) > 0 {
		return findings, nil
	}
	_, conflicts := catalog.Check(s.config.Contents(), note)
	findings = append(findings, conflicts...)
	infeasible, err := s.checkFeasibility(ctx, note)
	if err != nil {
		return nil, cannotCheck(err)
	}
	findings = append(findings, infeasible...)
	for i := range findings {
		findings[i].File = file
	}
	return findings, nil
}

// Verdict returns the verdict of a note as this instance knows it.
func (s *Service) Verdict(number uint64) (catalog.Verdict, bool) { return s.config.Verdict(number) }

// History lists all verdicts that this instance knows.
func (s *Service) History() []catalog.Verdict { return s.config.History() }
