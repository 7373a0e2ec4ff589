// Command tarragonhoist is the instance daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tarragonhoist/tarragonhoist/instance"
	"github.com/tarragonhoist/tarragonhoist/instance/version"
	"github.com/tarragonhoist/tarragonhoist/settings"
)

// Exit codes, documented in docs/OPERATIONS.md.
const (
	exitOK       = 0
	exitError    = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("tarragonhoist", "Serves many models on shared accelerator targets.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	serve := app.Command("serve", "Run an instance until SIGTERM.")
	serveFile := serve.Flag("settings", "Settings file (TOML).").Required().ExistingFile()
	check := app.Command("check-settings", "Check a settings file and print every finding.")
	checkFile := check.Arg("file", "Settings file (TOML).").Required().ExistingFile()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serve.FullCommand():
		os.Exit(runServe(*serveFile))
	case check.FullCommand():
		os.Exit(runCheck(*checkFile))
	}
}

func runCheck(file string) int {
	if _, err := settings.Load(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Println("settings are in order")
	return exitOK
}

func runServe(file string) int {
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := instance.Serve(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "tarragonhoist:", err)
		return exitError
	}
	return exitOK
}
