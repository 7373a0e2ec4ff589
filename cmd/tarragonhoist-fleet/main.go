// Command tarragonhoist-fleet runs one gateway or control instance of a deployment on the platform, and checks its settings and
// configurations.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tarragonhoist/tarragonhoist/instance/configcheck"
	"github.com/tarragonhoist/tarragonhoist/instance/controlinstance"
	"github.com/tarragonhoist/tarragonhoist/instance/fleet"
	"github.com/tarragonhoist/tarragonhoist/instance/version"
	"github.com/tarragonhoist/tarragonhoist/platform"
	"github.com/tarragonhoist/tarragonhoist/settings"
	"github.com/tarragonhoist/tarragonhoist/transport/upstream"
)

// Exit codes, documented in docs/OPERATIONS.md. Those of check-config are in package configcheck.
const (
	exitOK       = 0
	exitError    = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("tarragonhoist-fleet", "Serves routes and models on the platform.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	settingsFile := app.Flag("settings", "Settings file (TOML).").Envar(platform.SettingsPathVariable).Default(platform.DefaultSettingsPath).String()
	gateway := app.Command("gateway", "Serve callers until SIGTERM.")
	control := app.Command("control", "Serve targets and operators until SIGTERM.")
	check := app.Command("check-settings", "Check the settings file and print every finding.")
	var configCheck configcheck.Command
	checkConfig := app.Command("check-config", "Check a configuration before it is sent, without any server.")
	checkConfig.Arg("file", "Configuration (JSON).").Required().StringVar(&configCheck.File)
	checkConfig.Flag("against", "Configuration in force, to show what changes.").StringVar(&configCheck.Against)
	checkConfig.Flag("json", "Print JSON.").BoolVar(&configCheck.JSON)
	var statusCommand fleet.StatusCommand
	status := app.Command("status", "Show what the leader knows of accounts, targets and models.")
	status.Flag("address", "Control instance to ask, with its port for other processes, instead of those in the settings.").StringsVar(&statusCommand.Instances)
	status.Flag("json", "Print JSON.").BoolVar(&statusCommand.JSON)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if command == checkConfig.FullCommand() {
		os.Exit(runConfigCheck(&configCheck))
	}
	if command == status.FullCommand() {
		os.Exit(runStatus(&statusCommand, *settingsFile))
	}
	node, err := settings.LoadNode(*settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	run := fleet.RunGateway
	switch command {
	case check.FullCommand():
		fmt.Println("settings are in order")
		os.Exit(exitOK)
	case control.FullCommand():
		run = fleet.RunControl
	case gateway.FullCommand():
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := run(ctx, *settingsFile, node, platformAdapter(), reloads); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonhoist-fleet:", err)
		os.Exit(exitError)
	}
}

// runConfigCheck prints the report and returns the exit code.
func runConfigCheck(c *configcheck.Command) int {
	c.Decode, c.Read = platform.DecodeConfig, platform.ReadConfig
	code, err := c.Run(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tarragonhoist-fleet:", err)
		return exitError
	}
	return code
}

// runStatus prints the status and returns the exit code.
func runStatus(c *fleet.StatusCommand, settingsFile string) int {
	if len(c.Instances) == 0 {
		node, err := settings.LoadNode(settingsFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitSettings
		}
		c.Instances = node.SeedNames()
		if node.ListenControl != "" && !slices.Contains(c.Instances, node.PeerName()) {
			c.Instances = append(c.Instances, node.PeerName())
		}
	}
	if err := c.Run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonhoist-fleet:", err)
		return exitError
	}
	return exitOK
}

func platformAdapter() *fleet.PlatformAdapter {
	return &fleet.PlatformAdapter{
		Headers: platform.Headers(), ReadPrompt: platform.ReadPrompt, CountTokens: platform.CountTokens, ReadyPath: platform.ReadyPath,
		DecodeConfig:   platform.DecodeConfig,
		NewOrderClient: func(c *upstream.Client) controlinstance.OrderClient { return platform.Orders{Client: c} },
		NewAPIHandler:  func(i *controlinstance.Instance) http.Handler { return platform.NewAPI(i) },
	}
}
