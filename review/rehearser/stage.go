package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward/standin/storeserver"
)

const (
	callersPort = 8227
	readyPort   = 8220
	controlPort = 8229
	peerPort    = 7340
	metricsPort = 9464
	serverPort  = 8080
	storePort   = 8223

	// heartbeatInterval is HeartbeatIntervalMs of the settings on the users' pages.
	heartbeatInterval = 1200 * time.Millisecond
	startTimeout      = 15 * time.Second
	// maxSeeds is the most seeds that the platform names.
	maxSeeds = 3
	// graceSeconds is GracePeriodS.
	graceSeconds = 8
)

// stage is a small deployment: the store and the backend servers in this process, and entries in processes of their own.
type stage struct {
	record  *record
	trouble bool
	network string
	folder  string
	store   *storeserver.Server
	front   *http.Server
	entries []*process
	wait    sync.WaitGroup
}

// newStage starts the platform's store on an address of a network that nobody else uses.
func newStage(record *record, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "rehearser")
	if err != nil {
		return nil, err
	}
	stage := &stage{
		record:  record,
		trouble: trouble,
		folder:  folder,
		store:   storeserver.New(),
	}
	for attempt := range 50 {
		stage.network = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+attempt)%200, os.Getpid()/200%250)
		listener, err := net.Listen("tcp", stage.address(1, storePort))
		if err != nil {
			continue
		}
		stage.front = &http.Server{Handler: stage.store}
		go func() { _ = stage.front.Serve(listener) }() // returns when the server is closed
		record.line("trouble %t, network %s.0/24, store at %s", trouble, stage.network, listener.Addr())
		return stage, nil
	}
	return nil, fmt.Errorf("no free network was found")
}

func (stage *stage) ip(number int) string { return fmt.Sprintf("%s.%d", stage.network, number) }

func (stage *stage) address(number, port int) string {
	return net.JoinHostPort(stage.ip(number), fmt.Sprint(port))
}

// close ends all processes.
func (stage *stage) close() {
	for _, entry := range stage.entries {
		entry.kill()
	}
	_ = stage.front.Close() // the process ends next
	stage.wait.Wait()
	_ = os.RemoveAll(stage.folder)
}

// put writes a value to the store as operators and backend servers do.
func (stage *stage) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value is one of this program
	}
	stage.store.Put(key, text)
}

// process is one of the project's programs.
type process struct {
	stage   *stage
	number  int
	path    string
	command *exec.Cmd
	exited  chan struct{}
}

// startEntries starts entries, one in each availability zone, and waits until they are ready.
func (stage *stage) startEntries(count int) error {
	seeds := []string{}
	for number := range min(count, maxSeeds) {
		seeds = append(seeds, stage.address(10+number, controlPort))
	}
	for number := range count {
		entry := &process{
			stage:  stage,
			number: 10 + number,
			path:   filepath.Join(stage.folder, fmt.Sprintf("entry-%d.json", number)),
		}
		settings := stage.settings(entry.number, zone(number), seeds)
		text, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(entry.path, text, 0o600); err != nil {
			return err
		}
		if err := entry.start(); err != nil {
			return err
		}
		stage.entries = append(stage.entries, entry)
	}
	for _, entry := range stage.entries {
		if err := entry.awaitReady(); err != nil {
			return err
		}
	}
	stage.record.line("%d entries are ready", count)
	return nil
}

func zone(number int) string { return []string{"dakar-a", "dakar-b", "dakar-c"}[number%3] }

// settings are those that the template of the deploy file gives for the bounds of the site teranga-vet-grown.
func (stage *stage) settings(number int, zone string, seeds []string) map[string]any {
	return map[string]any{
		"instance":               fmt.Sprintf("front-%d", number),
		"zone":                   zone,
		"address":                stage.ip(number),
		"first_port":             peerPort,
		"seeds":                  seeds,
		"callers":                stage.address(number, callersPort),
		"ready":                  stage.address(number, readyPort),
		"control":                stage.address(number, controlPort),
		"rank":                   "",
		"metrics":                stage.address(number, metricsPort),
		"service":                "",
		"memory_mb":              536,
		"descriptors":            8192,
		"link_mbps":              200.0,
		"store":                  stage.address(1, storePort),
		"store_minimum_lease_ms": 1000,
		"drain_ms":               3000,
		"grace_s":                graceSeconds,
		"retry_ratio":            0.2,
		"retry_window_s":         10,
		"retry_slack":            242,
		"cold_overshoot":         1.5,
		"cold_slack":             5,
		"evacuation_ms":          5000,
		"regions":                map[string]string{"dakar-a": "dakar", "dakar-b": "dakar", "dakar-c": "dakar"},
	}
}

// start starts the program with the command of the deploy file.
func (process *process) start() error {
	output, err := os.OpenFile(process.path+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/gateway", "entry")
	command.Env = append(os.Environ(), "CRANBERRYWARD_SETTINGS="+process.path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none may outlive this program
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	process.command, process.exited = command, exited
	go func() {
		_ = command.Wait() // the exit status is not checked
		close(exited)
	}()
	return nil
}

// awaitReady waits until the program answers the platform's check with 200.
func (process *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + process.stage.address(process.number, readyPort) + "/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready after %s", process.number, startTimeout)
}

// kill ends the program.
func (process *process) kill() {
	_ = process.command.Process.Kill() // fails if it has ended
	select {
	case <-process.exited:
	case <-time.After(startTimeout):
	}
}

// every calls a function at intervals until the context ends.
func (stage *stage) every(ctx context.Context, interval time.Duration, act func()) {
	stage.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				act()
			}
		}
	})
}
