// Command rig runs the scripted cases of the second review. It starts the programs of the system as processes on loopback addresses, with
// stand-ins for clients, replicas and the operator, and checks one rule.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// limit is the longest time for one case.
const limit = 110 * time.Second

// cases are the scripted cases by name. trouble is false if the case runs without its disruption.
var cases = map[string]func(rec *record, trouble bool) (code int, err error){
	"parts": manyParts,
	"odd":   oddHeartbeats,
	"ring":  longPaths,
	"ids":   longIDs,
	"sizes": resizedModel,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(couldNot)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(couldNot)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	go func() {
		code, err := run(rec, os.Getenv("TROUBLE") != "0")
		results <- result{code, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	r := result{code: couldNot}
	select {
	case r = <-results:
	case <-stopped:
		rec.say("interrupted")
	case <-time.After(limit):
		rec.say("the case took too long")
	}
	if r.err != nil {
		rec.say("could not run", "error", r.err)
		r.code = couldNot
	}
	closeAll()
	rec.say("result", "code", r.code)
	rec.close()
	os.Exit(r.code)
}
