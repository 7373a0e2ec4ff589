// Command hoist-load generates load against instances and prints latency percentiles and counts per outcome.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tarragonhoist/tarragonhoist/standin/loadgen"
)

const help = "Load generator: sends model calls and service calls at a fixed rate to instances and prints percentiles of " +
	"the time to first token and of the total latency, and counts per outcome and reason."

func main() {
	var cfg loadgen.Config
	var asJSON bool
	app := kingpin.New("hoist-load", help)
	app.Flag("url", "Base URL of an instance; repeat it for several, which are used round-robin.").Required().StringsVar(&cfg.URLs)
	app.Flag("caller", "Name of a caller; repeat it for several.").Default("load").StringsVar(&cfg.Callers)
	app.Flag("model", "Model, or model:adapter; repeat it for several.").StringsVar(&cfg.Models)
	app.Flag("service", "Plain service for calls with an idempotency key.").StringVar(&cfg.Service)
	app.Flag("path", "Path and query of a service call.").Default("/").StringVar(&cfg.Path)
	app.Flag("service-share", "Fraction of requests that are service calls, 0 to 1.").Default("0").Float64Var(&cfg.ServiceShare)
	app.Flag("stream-share", "Fraction of model calls that are streamed, 0 to 1.").Default("1").Float64Var(&cfg.StreamShare)
	app.Flag("rate", "Requests per second.").Default("10").Float64Var(&cfg.Rate)
	app.Flag("duration", "Time during which requests are sent.").Default("10s").DurationVar(&cfg.Duration)
	app.Flag("requests", "Maximum number of requests.").Default("1000000").IntVar(&cfg.MaxRequests)
	app.Flag("in-flight", "Maximum number of requests in flight; further ones are counted but not sent.").
		Default("256").IntVar(&cfg.MaxInFlight)
	app.Flag("timeout", "Timeout of a request.").Default("1m").DurationVar(&cfg.RequestTimeout)
	app.Flag("deadline", "Deadline sent with model calls; 0 sends none.").Default("0s").DurationVar(&cfg.Deadline)
	app.Flag("priority", "Priority sent with model calls.").StringVar(&cfg.Priority)
	app.Flag("max-tokens", "Maximum number of output tokens of a model call.").Default("16").IntVar(&cfg.MaxTokens)
	app.Flag("prompt-bytes", "Length of each prompt in bytes.").Default("64").IntVar(&cfg.PromptBytes)
	app.Flag("check-tokens", "Compare answers with the tokens that hoist-target generates.").BoolVar(&cfg.CheckTokens)
	app.Flag("token", "Bearer token of the callers.").Envar("HOIST_TOKEN").StringVar(&cfg.Token)
	app.Flag("seed", "Seed for the random choice of caller, model and request kind.").Default("1").Uint64Var(&cfg.Seed)
	app.Flag("json", "Print the report as JSON.").BoolVar(&asJSON)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := loadgen.Run(ctx, cfg)
	app.FatalIfError(err, "")
	if asJSON {
		app.FatalIfError(json.NewEncoder(os.Stdout).Encode(report), "write report")
		return
	}
	app.FatalIfError(report.Print(os.Stdout), "")
}
