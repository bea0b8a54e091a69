package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// playLimit ends a case that does not end by itself.
	playLimit = 115 * time.Second
)

// plays holds the function of each case; it returns whether the rule was broken.
var plays = map[string]func(stage *stage) (broken bool, err error){
	"heads": playHeads,
	"late":  playLate,
	"maps":  playMaps,
	"paths": playPaths,
	"stop":  playStop,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || plays[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: actors CASE FOLDER")
		return exitFailed
	}
	stage, err := newStage(arguments[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "actors:", err)
		return exitFailed
	}
	defer stage.close()
	go giveUp(stage)
	broken, err := plays[arguments[0]](stage)
	switch {
	case err != nil:
		stage.record("the case could not run: %v", err)
		return exitFailed
	case broken:
		stage.record("the rule was broken")
		return exitBroken
	}
	stage.record("the rule held")
	return exitHeld
}

// giveUp ends a play that does not end in time or is told to end.
func giveUp(stage *stage) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case received := <-signals:
		stage.record("the case was ended by %s", received)
	case <-time.After(playLimit):
		stage.record("the case did not end in time")
	}
	stage.close()
	os.Exit(exitFailed)
}
