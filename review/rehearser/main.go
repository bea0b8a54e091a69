package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds what plays each case; it returns whether the rule was broken.
var cases = map[string]func(stage *stage) (broken bool, err error){
	"away":       playAway,
	"cold-again": playColdAgain,
	"late-end":   playLateEnd,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) == 3 && arguments[0] == "serve" {
		return serveChild(arguments[1], arguments[2])
	}
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rehearser CASE FOLDER   play a case and write its record into the folder")
		return exitFailed
	}
	record, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rehearser:", err)
		return exitFailed
	}
	defer record.close()
	stage, err := newStage(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.line("the case could not run: %v", err)
		return exitFailed
	}
	defer stage.close()
	broken, err := cases[arguments[0]](stage)
	switch {
	case err != nil:
		record.line("the case could not run: %v", err)
		return exitFailed
	case broken:
		record.line("the rule was broken")
		return exitBroken
	}
	record.line("the rule held")
	return exitHeld
}
