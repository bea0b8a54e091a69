package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward/hedger"
	"github.com/rotisserie/eris"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "CRANBERRYWARD_SETTINGS"

// Load reads and checks the settings file.
func Load(path string) (Settings, error) {
	var settings Settings
	if path == "" {
		return settings, eris.Errorf("set %s to the path of the settings file", PathVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, eris.Wrap(err, "read the settings file")
	}
	if err := json.Unmarshal(text, &settings); err != nil {
		return settings, eris.Wrapf(err, "settings file %s", path)
	}
	return settings, settings.Check()
}

// Check returns all errors of the settings at once.
func (settings Settings) Check() error {
	var errs []error
	require := func(valid bool, name string, value any, expected string) {
		if !valid {
			errs = append(errs, eris.Errorf("%s: %v, expected %s", name, value, expected))
		}
	}
	require(settings.Instance != "", "instance", strconv.Quote(settings.Instance), "a name")
	require(net.ParseIP(settings.Address) != nil, "address", strconv.Quote(settings.Address), "an IP address")
	require(settings.FirstPort > 0 && settings.FirstPort < 1<<16, "first_port", settings.FirstPort, "a port from 1 to 65535")
	require(isHostPort(settings.Store), "store", strconv.Quote(settings.Store), "HOST:PORT")
	require(settings.MemoryMB > 0, "memory_mb", settings.MemoryMB, "more than 0 MB")
	require(settings.Descriptors >= 0, "descriptors", settings.Descriptors, "0 or more, where 0 sets no limit")
	require(settings.LinkMbps >= 0, "link_mbps", settings.LinkMbps, "0 or more, where 0 sets no limit")
	require(settings.DrainMS > 0, "drain_ms", settings.DrainMS, "more than 0 ms")
	require(settings.GraceSeconds > 0, "grace_s", settings.GraceSeconds, "more than 0 s")
	require(settings.RetryRatio >= 0, "retry_ratio", settings.RetryRatio, "0 or more")
	require(settings.RetryWindowSeconds > 0, "retry_window_s", settings.RetryWindowSeconds, "more than 0 s")
	require(settings.SecondSendShare >= 0 && settings.SecondSendShare <= hedger.MaxShare, "second_send_share", settings.SecondSendShare, fmt.Sprintf("0 to %v, where 0 allows none", hedger.MaxShare))
	require(settings.ColdOvershoot >= 0, "cold_overshoot", settings.ColdOvershoot, "0 or more, where 0 means 1")
	require(settings.ColdSlack >= 0, "cold_slack", settings.ColdSlack, "0 or more")
	require(settings.EvacuationMS >= 0, "evacuation_ms", settings.EvacuationMS, "0 or more")
	for _, optional := range []struct{ name, value string }{{"callers", settings.Callers}, {"ready", settings.Ready}, {"control", settings.Control}, {"rank", settings.Rank}, {"metrics", settings.Metrics}} {
		require(optional.value == "" || isHostPort(optional.value), optional.name, strconv.Quote(optional.value), "HOST:PORT or nothing")
	}
	for _, seed := range settings.Seeds {
		require(isHostPort(seed), "seeds", strconv.Quote(seed), "HOST:PORT")
	}
	return errors.Join(errs...)
}

func isHostPort(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return err == nil
}

// PeerAddress returns the address at which the other processes of the system reach this one.
func (settings Settings) PeerAddress() string { return settings.PeerAddressOn(settings.Address) }

// PeerAddressOn returns the address of a process of the system on another instance; the ports are the same on all instances.
func (settings Settings) PeerAddressOn(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(settings.FirstPort))
}

// SeedAddresses returns the addresses of the processes on the seed instances.
func (settings Settings) SeedAddresses() []string {
	var peers []string
	for _, seed := range settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, settings.PeerAddressOn(host))
		}
	}
	return peers
}

// GracePeriod returns how long a process may keep running after it was asked to stop.
func (settings Settings) GracePeriod() time.Duration {
	return time.Duration(settings.GraceSeconds * float64(time.Second))
}

// RetryWindow returns the period over which the retry budget is counted.
func (settings Settings) RetryWindow() time.Duration {
	return time.Duration(settings.RetryWindowSeconds * float64(time.Second))
}

// Drain returns how long a backend server serves on after its registration has changed.
func (settings Settings) Drain() time.Duration {
	return time.Duration(settings.DrainMS) * time.Millisecond
}
