package logkeeper

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// folderPrefix begins the name of the folder of a test run, in the folder for temporary files.
const folderPrefix = "cranberryward-logs-"

// keeper keeps the logs of this process.
var keeper Keeper

// Test is what is needed of a test.
type Test interface {
	Name() string
	Failed() bool
	Logf(format string, values ...any)
}

// Keeper keeps logs in one folder, which it makes at the first failure.
type Keeper struct {
	once   sync.Once
	folder string
	err    error
}

// Keep writes the log of a process to a file that stays, and its path to the output of the test, if the test has failed; the process must have ended.
func Keep(test Test, process, log string) { keeper.Keep(test, process, log) }

// Keep does what the function Keep does, in the folder of this keeper.
func (keeper *Keeper) Keep(test Test, process, log string) {
	if !test.Failed() {
		return
	}
	keeper.once.Do(func() { keeper.folder, keeper.err = os.MkdirTemp("", folderPrefix) })
	err := keeper.err
	if err == nil {
		path := filepath.Join(keeper.folder, fileName(test.Name()+"-"+process)+".log")
		if err = os.WriteFile(path, []byte(log), 0o600); err == nil {
			test.Logf("log of %s: %s", process, path)
			return
		}
	}
	test.Logf("%s (its log could not be kept: %v):\n%s", process, err, log)
}

// fileName replaces what file names should not hold.
func fileName(name string) string {
	return strings.Map(func(char rune) rune {
		if strings.ContainsRune(" /:,'\"", char) {
			return '_'
		}
		return char
	}, name)
}
