// Command hoist-demo starts two data centres on loopback, demonstrates normal operation and several failures, and checks
// the result of every step. It runs the tarragonhoist and hoist-target binaries from its own directory.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("hoist-demo", "Demonstrates tarragonhoist on loopback: two data centres, streams, bookings, a partition and crashes.")
	keep := app.Flag("keep", "Keep the folder with settings and data.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(*keep))
}

func run(keep bool) int {
	executable, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoist-demo:", err)
		return 1
	}
	folder, err := os.MkdirTemp("", "hoist-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoist-demo:", err)
		return 1
	}
	if keep {
		fmt.Println("folder:", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	d := &demo{folder: folder, bin: filepath.Dir(executable), out: os.Stdout}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	finished := make(chan error, 1)
	go func() { finished <- d.run() }()
	select {
	case err = <-finished:
	case s := <-interrupted:
		err = fmt.Errorf("interrupted by %s", s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hoist-demo: FAILED:", err)
		d.printLogs()
		return 1
	}
	fmt.Println("every step was checked")
	return 0
}
