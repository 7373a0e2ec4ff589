// Command hoistctl is the operators' command line: it submits release notes and shows verdicts, status and timeline.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/instance/configcheck"
	"github.com/tarragonhoist/tarragonhoist/instance/version"
	"github.com/tarragonhoist/tarragonhoist/platform"
	"github.com/tarragonhoist/tarragonhoist/protocol/api"
	"github.com/tarragonhoist/tarragonhoist/protocol/tomlfile"
	"github.com/tarragonhoist/tarragonhoist/transport/opsclient"
)

// Exit codes, documented in docs/OPERATIONS.md.
const (
	exitOK        = 0
	exitError     = 1
	exitRefused   = 3
	exitNoVerdict = 4
)

// errRefused makes the command exit with exitRefused. The findings are printed before it is returned.
var errRefused = errors.New("release note refused")

func main() {
	app := kingpin.New("hoistctl", "Submits release notes to tarragonhoist and shows verdicts, status and events.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	url := app.Flag("url", "Base URL of an instance or of the balancer.").Envar("HOIST_URL").Default("http://127.0.0.1:8080").String()
	token := app.Flag("token-file", "File with the operator's bearer token.").Envar("HOIST_TOKEN_FILE").ExistingFile()
	operator := app.Flag("operator", "Operator name, for a deployment without tokens.").Envar("HOIST_OPERATOR").String()
	asJSON := app.Flag("json", "Print JSON.").Bool()

	submit := app.Command("submit", "Submit a release note and print its verdict.")
	submitFile := submit.Arg("file", "Release note (TOML).").Required().ExistingFile()
	check := app.Command("check", "Print the findings of a release note without submitting it.")
	checkFile := check.Arg("file", "Release note (TOML).").Required().ExistingFile()
	verdict := app.Command("verdict", "Print the verdict of a release note.")
	number := verdict.Arg("number", "Number of the note.").Required().Uint64()
	history := app.Command("history", "List all verdicts.")
	status := app.Command("status", "Show the logs, instances, models and targets, and models that lack a replica or memory.")
	timeline := app.Command("timeline", "Show the merged events of all instances.")
	instanceOnly := timeline.Flag("instance-only", "Show only the events of the instance that answers.").Bool()
	configCheck := configcheck.Command{Decode: platform.DecodeConfig, Read: platform.ReadConfig}
	checkConfig := app.Command("check-config", "Check a configuration of tarragonhoist-fleet before it is sent, without any server.")
	checkConfig.Arg("file", "Configuration (JSON).").Required().StringVar(&configCheck.File)
	checkConfig.Flag("against", "Configuration in force, to show what changes.").StringVar(&configCheck.Against)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	if command == checkConfig.FullCommand() {
		configCheck.JSON = *asJSON
		code, err := configCheck.Run(os.Stdout)
		if err != nil {
			exitWithError(err)
		}
		os.Exit(code)
	}
	client, err := newClient(*url, *token, *operator)
	if err != nil {
		exitWithError(err)
	}
	c := commands{client: client, out: os.Stdout, json: *asJSON}
	ctx := context.Background()
	switch command {
	case submit.FullCommand():
		err = c.submit(ctx, *submitFile)
	case check.FullCommand():
		err = c.check(ctx, *checkFile)
	case verdict.FullCommand():
		err = c.verdict(ctx, *number)
	case history.FullCommand():
		err = c.history(ctx)
	case status.FullCommand():
		err = c.status(ctx)
	case timeline.FullCommand():
		err = c.timeline(ctx, !*instanceOnly)
	}
	if err != nil {
		exitWithError(err)
	}
	os.Exit(exitOK)
}

func newClient(url, tokenFile, operator string) (*opsclient.Client, error) {
	if tokenFile == "" {
		return opsclient.New(url, "", operator), nil
	}
	token, err := readToken(tokenFile)
	if err != nil {
		return nil, err
	}
	return opsclient.New(url, token, operator), nil
}

// exitWithError prints an error and exits with the code for it. errRefused is not printed, since the findings already
// were.
func exitWithError(err error) {
	if errors.Is(err, errRefused) {
		os.Exit(exitRefused)
	}
	fmt.Fprintln(os.Stderr, "hoistctl:", err)
	var answerErr *opsclient.StatusError
	noVerdict := []api.Reason{api.ReasonNoQuorum, api.ReasonNoTarget, "no_verdict"}
	if errors.As(err, &answerErr) && slices.Contains(noVerdict, answerErr.Detail.Code) {
		os.Exit(exitNoVerdict)
	}
	os.Exit(exitError)
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "write JSON")
}

func printFindings(out io.Writer, findings []tomlfile.Finding) {
	for _, f := range findings {
		_, _ = fmt.Fprintln(out, "  "+f.String())
	}
}
