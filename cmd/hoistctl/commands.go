package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/state/catalog"
	"github.com/tarragonhoist/tarragonhoist/transport/httpapi"
	"github.com/tarragonhoist/tarragonhoist/transport/opsclient"
)

// commands implements the subcommands.
type commands struct {
	client *opsclient.Client
	out    io.Writer
	json   bool
}

func readToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	return strings.TrimSpace(string(data)), nil
}

func (c *commands) submit(ctx context.Context, file string) error {
	note, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read release note")
	}
	verdict, err := c.client.Submit(ctx, file, note)
	if err != nil {
		return err
	}
	return c.printVerdict(verdict)
}

func (c *commands) check(ctx context.Context, file string) error {
	note, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read release note")
	}
	findings, err := c.client.Check(ctx, file, note)
	if err != nil {
		return err
	}
	if c.json {
		if err := printJSON(c.out, findings); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(c.out, "%d findings\n", len(findings))
		printFindings(c.out, findings)
	}
	if len(findings) > 0 {
		return errRefused
	}
	return nil
}

func (c *commands) verdict(ctx context.Context, number uint64) error {
	verdict, err := c.client.Verdict(ctx, number)
	if err != nil {
		return err
	}
	return c.printVerdict(verdict)
}

func (c *commands) printVerdict(v catalog.Verdict) error {
	if c.json {
		if err := printJSON(c.out, v); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(c.out, "note %d: %s (log index %d, operator %s)\n", v.Number, verdictResult(v), v.Index, v.Operator)
		printFindings(c.out, v.Findings)
	}
	if !v.Accepted {
		return errRefused
	}
	return nil
}

func verdictResult(v catalog.Verdict) string {
	if v.Accepted {
		return "accepted"
	}
	return "refused"
}

func (c *commands) history(ctx context.Context) error {
	verdicts, err := c.client.History(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.out, verdicts)
	}
	w := c.newTable("INDEX", "NOTE", "RESULT", "OPERATOR", "AT", "FINDINGS")
	for _, v := range verdicts {
		writeRow(w, v.Index, v.Number, verdictResult(v), v.Operator, time.UnixMilli(v.AtMs).UTC().Format(time.RFC3339), len(v.Findings))
	}
	return errors.Wrap(w.Flush(), "write table")
}

func (c *commands) status(ctx context.Context) error {
	s, err := c.client.Status(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.out, s)
	}
	_, _ = fmt.Fprintf(c.out, "%s, instance %s in %s, ready %t, version %s\n", s.Cluster, s.Instance, s.DataCentre, s.Ready, s.Version)
	for _, line := range s.Insecure {
		_, _ = fmt.Fprintf(c.out, "not secured: %s\n", line)
	}
	_, _ = fmt.Fprintf(c.out, "controller %s, fencing number %d, %d open orders\n", orNone(s.Control.Holder), s.Control.FencingNumber, s.Control.OpenOrders)
	for _, line := range s.Waiting {
		_, _ = fmt.Fprintf(c.out, "waiting: %s\n", line)
	}
	return c.statusTables(s)
}

func (c *commands) statusTables(s httpapi.Status) error {
	w := c.newTable("LOG", "ROLE", "LEADER", "TERM", "COMMIT", "APPLIED")
	for _, l := range s.Logs {
		writeRow(w, l.Group, l.Role, orNone(l.Leader), l.Term, l.Commit, l.Applied)
	}
	writeRow(w)
	writeRow(w, "INSTANCE", "DATA CENTRE", "REACHABLE", "APPLIED")
	for _, i := range s.Instances {
		writeRow(w, i.Name, i.DataCentre, i.Reachable, i.AppliedIndex)
	}
	writeRow(w)
	writeRow(w, "MODEL", "VERSION", "READY", "LOADING")
	for _, m := range s.Models {
		writeRow(w, m.Name, m.Version, m.Ready, m.Loading)
	}
	writeRow(w)
	writeRow(w, "TARGET", "KIND", "STATE", "USED", "CAPACITY", "IN FLIGHT", "RESIDENTS")
	for _, t := range s.Targets {
		writeRow(w, t.Name, t.Kind, t.State, t.UsedBytes, t.CapacityBytes, t.InFlight, strings.Join(t.Residents, " "))
	}
	for i, u := range s.UnresolvedCalls {
		if i == 0 {
			writeRow(w)
			writeRow(w, "UNRESOLVED CALL", "CALLER", "SERVICE", "STATE", "SINCE")
		}
		writeRow(w, u.Key, u.Caller, u.Service, u.State, time.UnixMilli(u.SinceMs).UTC().Format(time.RFC3339))
	}
	return errors.Wrap(w.Flush(), "write table")
}

func (c *commands) timeline(ctx context.Context, all bool) error {
	t, err := c.client.Timeline(ctx, all)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.out, t)
	}
	w := c.newTable("TIME", "INSTANCE", "EVENT", "NAME", "FIELDS")
	for _, e := range t.Events {
		writeRow(w, time.UnixMicro(e.AtUs).UTC().Format("15:04:05.000000"), e.Instance, e.Number, e.Name, e.Fields)
	}
	for _, name := range t.Unreachable {
		writeRow(w, "", name, "", "unreachable", "its events are missing")
	}
	return errors.Wrap(w.Flush(), "write table")
}

func (c *commands) newTable(headers ...any) *tabwriter.Writer {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	writeRow(w, headers...)
	return w
}

// writeRow writes one row of a table. tabwriter.Writer.Flush returns the write errors.
func writeRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = io.WriteString(w, "\n")
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
