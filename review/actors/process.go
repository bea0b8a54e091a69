package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// zone is the availability zone of all processes.
	zone = "andes-norte-a"
	// The ports are the same on all machines.
	peerPort    = 7340
	callerPort  = 8227
	readyPort   = 8220
	controlPort = 8229
	// entryMemoryMB and entryDescriptors are those of a front machine of the small deployments.
	entryMemoryMB    = 284
	entryDescriptors = 4100
)

// process is a process of the gateway.
type process struct {
	stage   *stage
	name    string
	command *exec.Cmd
	// callers, ready and log are its addresses for callers and readiness checks, and the path of its log.
	callers, ready, log string
	exited              chan struct{}
}

// machineAddress returns the loopback address of a machine, which differs from play to play.
func machineAddress(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%250, machine)
}

// startEntry starts an entry on a machine, and waits until it is ready.
func (stage *stage) startEntry(machine int) (*process, error) {
	address := machineAddress(machine)
	callers := net.JoinHostPort(address, strconv.Itoa(callerPort))
	process, err := stage.start("entry", machine, map[string]any{
		"callers":     callers,
		"ready":       net.JoinHostPort(address, strconv.Itoa(readyPort)),
		"control":     net.JoinHostPort(address, strconv.Itoa(controlPort)),
		"memory_mb":   entryMemoryMB,
		"descriptors": entryDescriptors,
		"link_mbps":   1000,
	})
	if err != nil {
		return nil, err
	}
	process.callers, process.ready = callers, net.JoinHostPort(address, strconv.Itoa(readyPort))
	return process, process.awaitReady()
}

// start starts a role on a machine with the settings of the deploy file's template and further ones.
func (stage *stage) start(role string, machine int, further map[string]any) (*process, error) {
	address := machineAddress(machine)
	settings := map[string]any{
		"instance":               fmt.Sprintf("%s-%d", role, machine),
		"zone":                   zone,
		"address":                address,
		"first_port":             peerPort,
		"seeds":                  []string{net.JoinHostPort(machineAddress(1), strconv.Itoa(controlPort))},
		"store":                  stage.storeAddress,
		"store_minimum_lease_ms": 1000,
		"drain_ms":               2000,
		"grace_s":                8,
		"retry_ratio":            0.2,
		"retry_window_s":         10,
		"retry_slack":            92,
		"regions":                map[string]string{zone: "andes-norte"},
	}
	for name, value := range further {
		settings[name] = value
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", role, machine)
	path := filepath.Join(stage.directory, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return stage.launch(role, name, path)
}

// launch starts the program with a settings file.
func (stage *stage) launch(role, name, path string) (*process, error) {
	log, err := os.Create(filepath.Join(stage.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	process := &process{
		stage:   stage,
		name:    name,
		command: exec.Command(stage.gateway, role),
		log:     log.Name(),
		exited:  make(chan struct{}),
	}
	process.command.Env = append(os.Environ(), "CRANBERRYWARD_SETTINGS="+path)
	process.command.Stdout, process.command.Stderr = log, log
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the player, however that ends
	if err := process.command.Start(); err != nil {
		return nil, err
	}
	stage.record("started %s: %s %s", name, stage.gateway, role)
	go func() {
		_ = process.command.Wait() // its state tells how it ended
		_ = log.Close()
		close(process.exited)
	}()
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	stage.processes = append(stage.processes, process)
	return process, nil
}

// kill ends the process and waits for its end.
func (process *process) kill() {
	_ = process.command.Process.Kill() // fails if it has ended
	<-process.exited
}

// alive returns whether the process has not ended.
func (process *process) alive() bool {
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until the process reports that it is ready.
func (process *process) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTime); time.Now().Before(until) && process.alive(); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + process.ready + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status matters
		if response.StatusCode == http.StatusOK {
			process.stage.record("%s is ready", process.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", process.name)
}

// peakMB returns the peak of the resident memory, or zero once the process has ended.
func (process *process) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes >> 10
}
