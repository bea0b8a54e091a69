package main

import (
	"context"
	"os"
	"syscall"
	"time"
)

const (
	// refreshInterval is how often a stopping process looks for changed settings, as its grace period may be raised or lowered without a signal.
	refreshInterval = 500 * time.Millisecond
	// stopOverrun is how long after the grace period a process that still stops is given up.
	stopOverrun = time.Second
)

// stopping is a stop whose time limit follows the grace period in force.
type stopping struct {
	stop    func(ctx context.Context) error
	grace   func() time.Duration
	refresh func()
}

// run stops the process and returns its error; the context of the stop ends once the grace period in force is over.
func (stopping stopping) run(signals <-chan os.Signal) error {
	begun := time.Now()
	stopping.refresh()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- stopping.stop(ctx) }()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case received := <-signals:
			if received == syscall.SIGHUP {
				stopping.refresh()
			}
		case <-ticker.C:
			stopping.refresh()
		}
		if time.Since(begun) > stopping.grace()+stopOverrun {
			cancel()
		}
	}
}
