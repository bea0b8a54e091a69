package main

import (
	"fmt"
	"os"
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
	timer := time.AfterFunc(playLimit, func() {
		stage.record("the case did not end in time")
		stage.close()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
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
