package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward/review/stage"
	"github.com/rotisserie/eris"
)

// Exit codes: the rule held, the rule was broken, and the case could not run.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxPlayTime  = 115 * time.Second
	usageMessage = "usage: player CASE RECORD, with TROUBLE=0 in the environment for a run without the disruption"
)

// errNotRun means that the case could not run, which says nothing about the rule.
var errNotRun = eris.New("the case could not run")

// play runs a case in a deployment and returns what broke the rule, one line for each observation.
type play func(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	plays := map[string]play{
		"grace":    playGrace,
		"settings": playSettings,
		"event":    playEvent,
		"memory":   playMemory,
		"header":   playHeader,
		"poison":   playPoison,
	}
	if len(arguments) != 2 || plays[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, usageMessage)
		return exitNotRun
	}
	record, err := stage.NewRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	code := runRecorded(plays[arguments[0]], record)
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// runRecorded plays a case within its time and reports the result.
func runRecorded(play play, record *stage.Record) int {
	trouble := os.Getenv("TROUBLE") != "0"
	report := func(format string, arguments ...any) {
		record.Add(format, arguments...)
		fmt.Printf(format+"\n", arguments...)
	}
	report("trouble: %t", trouble)
	deployment, err := stage.NewDeployment(record)
	if err != nil {
		report("not run: %v", err)
		return exitNotRun
	}
	defer deployment.End()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := play(deployment, record, trouble)
		results <- result{broken, err}
	}()
	// A player that is stopped must still end the processes that it started.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var got result
	select {
	case got = <-results:
	case received := <-signals:
		got.err = eris.Wrapf(errNotRun, "stopped by %s", received)
	case <-time.After(maxPlayTime):
		got.err = eris.Wrapf(errNotRun, "not done after %s", maxPlayTime)
	}
	if got.err != nil {
		report("not run: %v", got.err)
		return exitNotRun
	}
	for _, line := range got.broken {
		report("broken: %s", line)
	}
	if len(got.broken) > 0 {
		return exitBroken
	}
	report("held")
	return exitHeld
}
