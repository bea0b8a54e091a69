package stage

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startTimeout bounds the time until an entry is ready.
const startTimeout = 15 * time.Second

// Bounds are the figures of an entry's settings that the cases vary.
type Bounds struct {
	GraceSeconds float64
	MemoryMB     int
}

// Entry is a process of the deploy file's role of that name.
type Entry struct {
	deployment *Deployment
	name       string
	host       int
	path       string
	command    *exec.Cmd
	exited     chan struct{}
}

// AddEntry starts an entry.
func (deployment *Deployment) AddEntry(bounds Bounds) (*Entry, error) {
	number := len(deployment.entries)
	entry := &Entry{
		deployment: deployment,
		name:       "entry-" + strconv.Itoa(number),
		host:       firstEntryHost + number,
	}
	entry.path = filepath.Join(deployment.directory, entry.name+".json")
	if err := entry.WriteSettings(bounds); err != nil {
		return nil, err
	}
	if err := entry.Start(); err != nil {
		return nil, err
	}
	deployment.entries = append(deployment.entries, entry)
	return entry, nil
}

func (entry *Entry) at(port int) string {
	return net.JoinHostPort(entry.deployment.ip(entry.host), strconv.Itoa(port))
}

// Callers returns the address for callers.
func (entry *Entry) Callers() string { return entry.at(entry.deployment.ports.callers) }

// WriteSettings writes the settings file, as the platform fills in the template of the deploy file.
func (entry *Entry) WriteSettings(bounds Bounds) error {
	ports := entry.deployment.ports
	text, err := json.Marshal(map[string]any{
		"instance": entry.name, "zone": "zone-a", "address": entry.deployment.ip(entry.host), "first_port": ports.peers,
		"seeds":   []string{net.JoinHostPort(entry.deployment.ip(firstEntryHost), strconv.Itoa(ports.control))},
		"callers": entry.Callers(), "ready": entry.at(ports.ready), "control": entry.at(ports.control), "rank": "", "metrics": entry.at(ports.metrics), "service": "",
		"memory_mb": bounds.MemoryMB, "link_mbps": 1000, "store": entry.deployment.address, "store_minimum_lease_ms": 1000,
		"drain_ms": 2000, "grace_s": bounds.GraceSeconds, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 94,
	})
	if err != nil {
		return eris.Wrap(err, "encode the settings")
	}
	entry.deployment.record.Add("platform writes the settings of %s: grace_s %g, memory_mb %d", entry.name, bounds.GraceSeconds, bounds.MemoryMB)
	return eris.Wrap(os.WriteFile(entry.path, text, 0o600), "write the settings")
}

// Start starts the process with the command of the deploy file.
func (entry *Entry) Start() error {
	log, err := os.OpenFile(entry.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "create the log of a process")
	}
	defer log.Close()
	command := exec.Command("target/gateway", "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYWARD_SETTINGS=" + entry.path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return eris.Wrap(err, "start target/gateway entry")
	}
	exited := make(chan struct{})
	entry.command, entry.exited = command, exited
	entry.deployment.record.Add("%s starts as process %d", entry.name, command.Process.Pid)
	go func() {
		_ = command.Wait() // the state says how it ended
		entry.deployment.record.Add("%s has ended: %s", entry.name, command.ProcessState)
		close(exited)
	}()
	return nil
}

// AwaitReady waits until the entry says that it is ready.
func (entry *Entry) AwaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + entry.at(entry.deployment.ports.ready) + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // it has none
		if response.StatusCode == http.StatusOK {
			entry.deployment.record.Add("%s is ready", entry.name)
			return nil
		}
	}
	return eris.Errorf("%s is not ready after %s", entry.name, startTimeout)
}

// Signal sends the process a signal.
func (entry *Entry) Signal(signal syscall.Signal) {
	entry.deployment.record.Add("%s to %s", signal, entry.name)
	_ = entry.command.Process.Signal(signal) // fails if the process has ended
}

// Exited returns a channel that is closed when the process has ended.
func (entry *Entry) Exited() <-chan struct{} { return entry.exited }

// ResidentMB returns how much memory of its own the process uses, without the pages of its program's file.
func (entry *Entry) ResidentMB() int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(entry.command.Process.Pid) + "/status")
	if err != nil {
		return 0 // the process has ended
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kilobytes >> 10
		}
	}
	return 0
}

// Logged returns how many lines of the process's log hold a text.
func (entry *Entry) Logged(text string) int {
	log, err := os.ReadFile(entry.path + ".log")
	if err != nil {
		return 0
	}
	return strings.Count(string(log), text)
}

// Kill ends the process and waits for it.
func (entry *Entry) Kill() {
	_ = entry.command.Process.Kill() // fails if the process has ended
	<-entry.exited
}
