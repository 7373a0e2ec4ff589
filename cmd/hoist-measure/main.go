// Command hoist-measure simulates the coordination policies and their baselines in virtual time and prints a table that
// compares them.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/tarragonhoist/tarragonhoist/measure"
)

func main() {
	app := kingpin.New("hoist-measure", "Simulates the coordination policies and their baselines in virtual time and prints a comparison.")
	file := app.Flag("settings", "Settings file.").Default("measure/settings.toml").String()
	seed := app.Flag("seed", "Seed of the random number generator; equal seeds give equal tables.").Default("1").Uint64()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	data, err := os.ReadFile(*file)
	if err != nil {
		logrus.WithError(err).Fatal("cannot read the settings file")
	}
	settings, findings := measure.ReadSettings(*file, data)
	if len(findings) > 0 {
		logrus.Fatalf("the settings file has %d findings:\n%s", len(findings), findings.Error())
	}
	if err := measure.Run(os.Stdout, settings, *seed); err != nil {
		logrus.WithError(err).Fatal("cannot print the comparison table")
	}
}
