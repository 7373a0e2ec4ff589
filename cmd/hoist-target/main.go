// Command hoist-target is a STAND-IN for a model engine or a plain service, for tests and the demo only. It runs no
// model; see package standin/target.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
	"github.com/tarragonhoist/tarragonhoist/standin/target"
)

const help = "STAND-IN target for tests and the demo: imitates a model engine or a plain service, but runs no model. " +
	"It speaks the target protocol, announces itself to the given instances and prints its address as one JSON line."

func main() {
	cfg, kind := target.Config{Log: logrus.New()}, ""
	app := kingpin.New("hoist-target", help)
	app.Flag("name", "Name of the target.").Required().StringVar(&cfg.Name)
	app.Flag("data-centre", "Data centre of the target.").Required().StringVar(&cfg.DataCentre)
	app.Flag("failure-domain", "Failure domain inside the data centre.").StringVar(&cfg.FailureDomain)
	app.Flag("listen", "Address to listen on; port 0 lets the kernel choose.").Default("127.0.0.1:0").StringVar(&cfg.Listen)
	app.Flag("balancer", "Base URL of an instance; repeat it for several, which are used round-robin.").StringsVar(&cfg.Balancers)
	app.Flag("kind", "engine or service.").Default(string(targetapi.Engine)).
		EnumVar(&kind, string(targetapi.Engine), string(targetapi.Service))
	app.Flag("service", "Name of the service, for kind service.").StringVar(&cfg.Service)
	app.Flag("capacity-bytes", "Accelerator memory in bytes, for kind engine.").Int64Var(&cfg.CapacityBytes)
	app.Flag("reserve-bytes", "Accelerator memory in bytes that is reserved for the KV cache.").Int64Var(&cfg.ReserveBytes)
	app.Flag("software-version", "Software version that the target names; it goes on only with answers that began at the same one.").StringVar(&cfg.SoftwareVersion)
	app.Flag("slots", "Maximum number of requests that run concurrently.").Default("4").IntVar(&cfg.Slots)
	app.Flag("queue", "Maximum number of requests that wait for a slot; further ones are answered with status 429.").Default("8").IntVar(&cfg.Queue)
	app.Flag("checks-fencing", "Refuse orders with a stale fencing number.").BoolVar(&cfg.ChecksFencing)
	app.Flag("token-interval", "Time between tokens.").Default(target.DefaultTokenInterval.String()).
		DurationVar(&cfg.TokenInterval)
	app.Flag("load-delay", "Time to load a model.").Default(target.DefaultLoadDelay.String()).DurationVar(&cfg.LoadDelay)
	app.Flag("adapter-delay", "Time to load an adapter or to unload anything.").Default(target.DefaultAdapterDelay.String()).
		DurationVar(&cfg.AdapterDelay)
	app.Flag("announce-interval", "Time between announcements.").Default(target.DefaultAnnounceInterval.String()).
		DurationVar(&cfg.AnnounceInterval)
	app.Flag("report-lag", "Age of the load report in each announcement.").Default("0s").DurationVar(&cfg.ReportLag)
	app.Flag("leave-delay", "Time between the first announcement that the target leaves and closing the listener.").
		Default(target.DefaultLeaveDelay.String()).DurationVar(&cfg.LeaveDelay)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	cfg.Kind = targetapi.Kind(kind)

	t, err := target.New(cfg)
	app.FatalIfError(err, "")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app.FatalIfError(t.Run(ctx, os.Stdout), "")
}
