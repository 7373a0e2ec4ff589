package configcheck

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// PrintJSON writes the report as JSON.
func (r *Report) PrintJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(r), "write report")
}

// PrintText writes the report as text, with what prevents the configuration first and the result last.
func (r *Report) PrintText(out io.Writer) error {
	var b strings.Builder
	for _, e := range r.Errors {
		_, _ = fmt.Fprintf(&b, "error: %s: %s\n", e.Place, e.Message)
	}
	for _, w := range r.Warnings {
		_, _ = fmt.Fprintf(&b, "warning: %s: %s [%s]\n", w.Place, w.Message, w.Rule)
	}
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(&b, "change: %s: %s\n", c.Place, c.Message)
	}
	for _, u := range r.Unchecked {
		_, _ = fmt.Fprintf(&b, "not checked: %s\n", u)
	}
	_, _ = fmt.Fprintf(&b, "%s: errors %d, warnings %d", r.subject(), len(r.Errors), len(r.Warnings))
	if r.Against > 0 {
		_, _ = fmt.Fprintf(&b, ", changes from version %d: %d", r.Against, len(r.Changes))
	}
	_, err := io.WriteString(out, b.String()+"\n")
	return errors.Wrap(err, "write report")
}

func (r *Report) subject() string {
	if r.Version == 0 {
		return "configuration"
	}
	return fmt.Sprintf("version %d", r.Version)
}
