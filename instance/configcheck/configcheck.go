// Package configcheck checks a configuration offline, before an operator sends it: its errors, which are those that a control instance
// would answer, its warnings, and what it changes.
package configcheck

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/routes"
)

// Result is the outcome of a check.
type Result string

// Outcomes of a check.
const (
	Clean    Result = "clean"
	Warnings Result = "warnings"
	Errors   Result = "errors"
)

// Exit codes, documented in docs/OPERATIONS.md. Codes 1 and 2 are those of the other commands.
const (
	exitClean    = 0
	exitWarnings = 3
	exitErrors   = 4
)

// Problem is an error of the configuration.
type Problem struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Warning is an element without effect, or that contradicts another one.
type Warning struct {
	Rule    string `json:"rule"`
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Change is one difference from the configuration in force.
type Change struct {
	Section string `json:"section"`
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Report is the outcome of a check. Its JSON is documented in docs/OPERATIONS.md; fields may be added.
type Report struct {
	Result Result `json:"result"`
	// Version is 0 if the configuration can't be decoded.
	Version uint64 `json:"version"`
	// Against is the version that it was compared with, 0 without one.
	Against  uint64    `json:"against"`
	Errors   []Problem `json:"errors"`
	Warnings []Warning `json:"warnings"`
	Changes  []Change  `json:"changes"`
	// Unchecked are the contradictions that a configuration alone can't show.
	Unchecked []string `json:"unchecked"`
}

// Decode decodes a configuration as control instances do.
type Decode func(source []byte) (*routes.Document, error)

// Check checks a configuration and compares it with the one in force, unless that is nil. The error is that of decoding the one in force.
func Check(source, inForce []byte, decode Decode) (*Report, error) {
	var earlier *routes.Document
	if inForce != nil {
		var err error
		if earlier, err = decode(inForce); err != nil {
			return nil, errors.Wrap(err, "configuration in force")
		}
	}
	report := &Report{Errors: []Problem{}, Warnings: []Warning{}, Changes: []Change{}, Unchecked: []string{}}
	document, err := decode(source)
	if err != nil {
		report.Errors = append(report.Errors, Problem{Place: placeOf(source, err), Message: err.Error()})
	} else {
		report.describe(document)
		report.compare(earlier, document)
	}
	report.Result = report.result()
	return report, nil
}

// describe adds the errors and warnings of a document.
func (r *Report) describe(d *routes.Document) {
	r.Version = d.Version
	for _, f := range d.Check() {
		r.Errors = append(r.Errors, Problem{Place: f.Location, Message: f.Message})
	}
	for _, w := range d.Warnings() {
		r.Warnings = append(r.Warnings, Warning{Rule: w.Rule, Place: w.Location, Message: w.Message})
	}
	r.Unchecked = append(r.Unchecked, d.Unchecked()...)
}

// compare adds the changes from the document in force, nil if there is none.
func (r *Report) compare(inForce, next *routes.Document) {
	if inForce == nil {
		return
	}
	r.Against = inForce.Version
	for _, c := range routes.Diff(inForce, next) {
		r.Changes = append(r.Changes, Change{Section: string(c.Section), Place: c.Location, Message: c.Message})
	}
	if next.Version <= inForce.Version {
		r.Warnings = append(r.Warnings, Warning{Rule: "version-not-newer", Place: "version", Message: fmt.Sprintf(
			"version %d is not newer than version %d in force, so that the server acknowledges it without effect", next.Version, inForce.Version)})
	}
}

func (r *Report) result() Result {
	switch {
	case len(r.Errors) > 0:
		return Errors
	case len(r.Warnings) > 0:
		return Warnings
	}
	return Clean
}

// ExitCode returns the exit code of the command that made the report.
func (r *Report) ExitCode() int {
	switch r.Result {
	case Errors:
		return exitErrors
	case Warnings:
		return exitWarnings
	}
	return exitClean
}

// placeOf returns the line and column of an error of decoding, or what is wrong as a whole.
func placeOf(source []byte, err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mismatch):
		offset = mismatch.Offset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		offset = int64(len(source))
	}
	if offset < 0 || offset > int64(len(source)) {
		return "configuration"
	}
	return position(source[:offset])
}

// position returns the line and the column, in bytes, of the last byte of what was read.
func position(read []byte) string {
	line, column := 1, 0
	for _, c := range read {
		if column++; c == '\n' {
			line, column = line+1, 0
		}
	}
	return fmt.Sprintf("line %d, column %d", line, column)
}
