package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward/standin/storeserver"
)

// maxCopiedLines bounds the lines of logs in the record.
const maxCopiedLines = 12

// readyTime bounds the wait for a process to report that it is ready.
const readyTime = 15 * time.Second

// stage is what one play runs on: the platform's store, the processes under test and the record of what happens.
type stage struct {
	// trouble is whether the disruption of the case takes place.
	trouble bool
	// gateway is the program under test.
	gateway   string
	directory string
	begun     time.Time
	store     *storeserver.Server
	// storeAddress is the address of the store.
	storeAddress string

	mutex     sync.Mutex
	file      *os.File
	closers   []func()
	processes []*process
}

// newStage starts the store and the record of a case.
func newStage(folder string, trouble bool) (*stage, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	stage := &stage{
		trouble:   trouble,
		gateway:   filepath.Join("target", "gateway"),
		directory: directory,
		begun:     time.Now(),
		store:     storeserver.New(),
		file:      file,
	}
	stage.storeAddress, err = stage.serve("127.0.0.1:0", stage.store)
	stage.record("trouble: %t", trouble)
	return stage, err
}

// serve serves HTTP on an address until the stage is closed, and returns the address.
func (stage *stage) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	stage.onClose(func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// onClose adds a function that is called when the stage is closed.
func (stage *stage) onClose(closer func()) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.closers = append(stage.closers, closer)
}

// close ends all processes and servers that the stage started.
func (stage *stage) close() {
	stage.mutex.Lock()
	processes, closers := stage.processes, stage.closers
	stage.processes, stage.closers = nil, nil
	stage.mutex.Unlock()
	for _, process := range processes {
		process.kill()
	}
	for _, closer := range closers {
		closer()
	}
	_ = os.RemoveAll(stage.directory) // it is in the folder for temporary files
}

// record writes a line, with the time since the begin of the play.
func (stage *stage) record(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(stage.begun).Seconds(), fmt.Sprintf(format, values...))
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	_, _ = stage.file.WriteString(line) // the exit status tells the result too
	fmt.Print(line)
}

// put writes a value to the store, as the operator and backend servers do.
func (stage *stage) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	stage.store.Put(key, text)
	return nil
}

// register writes the registration of a backend server that is ready.
func (stage *stage) register(id, service, address string, slots int) error {
	return stage.put("servers/"+id, map[string]any{
		"Service": service,
		"Address": address,
		"Zone":    zone,
		"Version": 1,
		"Slots":   slots,
		"State":   "ready",
	})
}

// copyLogs adds to the record the lines of the processes' logs that hold one of some events.
func (stage *stage) copyLogs(role string, events ...string) {
	paths, _ := filepath.Glob(filepath.Join(stage.directory, role+"-*.log")) // the pattern is valid
	var lines []string
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(events, func(event string) bool { return strings.Contains(line, "event="+event+" ") }) {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	slices.Sort(lines) // by their times
	for _, line := range lines[max(len(lines)-maxCopiedLines, 0):] {
		stage.record("log: %s", line)
	}
}
