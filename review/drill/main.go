// Command drill plays the cases of the review: it starts the programs of the deploy file as separate processes on loopback
// addresses, with stand-ins for replicas, clients and the operator, and judges one rule by what these see.
//
// Usage: drill CASE FOLDER. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// caseTime bounds a case.
const caseTime = 110 * time.Second

// play is one run of a case.
type play struct {
	ctx     context.Context
	d       *deployment
	trouble bool
}

// cases return what broke the rule, or an empty text.
var cases = map[string]func(*play) (string, error){
	"withdraw-model": withdrawModel,
	"term-waiting":   termWaiting,
	"ack-kill":       ackKill,
	"same-id":        sameID,
	"origin-lost":    originLost,
	"part-turns":     partTurns,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	d, err := newDeployment(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	p := &play{ctx: ctx, d: d, trouble: os.Getenv("TROUBLE") != "0"}
	found, err := cases[name](p)
	switch {
	case found != "":
		rec.note("BROKEN: %s", found)
		fmt.Println("broken:", found)
		return broken
	case err == nil && ctx.Err() != nil:
		err = ctx.Err()
		fallthrough
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return held
}
