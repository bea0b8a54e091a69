package server

import (
	"cmp"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/loader"
	"github.com/oklog/ulid/v2"
)

// Settings are the settings of an agent.
type Settings struct {
	ID            string        `json:"id"`
	Zone          string        `json:"zone"`
	Role          string        `json:"role"`
	Listen        string        `json:"listen"`
	PeerListen    string        `json:"peer_listen"`
	Backend       string        `json:"backend"`
	Group         string        `json:"group"`
	Rank          int           `json:"rank"`
	Service       string        `json:"service"`
	Model         string        `json:"model"`
	KeyValue      string        `json:"key_value"`
	InstanceList  string        `json:"instance_list"`
	Advertise     string        `json:"advertise"`
	PeerAdvertise string        `json:"peer_advertise"`
	SharedKey     string        `json:"-"`
	LogLevel      string        `json:"log_level"`
	MaxBody       int           `json:"max_body"`
	QueueLength   int           `json:"queue_length"`
	HoldBound     time.Duration `json:"hold_bound"`
	MaxAge        time.Duration `json:"max_age"`
	ClockError    time.Duration `json:"clock_error"`
	HomeLifetime  time.Duration `json:"home_lifetime"`
	ListLag       time.Duration `json:"list_lag"`
	KeyRetention  time.Duration `json:"key_retention"`
	KeyCapacity   int           `json:"key_capacity"`
	StopLimit     time.Duration `json:"stop_limit"`
	StopGrace     time.Duration `json:"stop_grace"`
	MaxCrashes    int           `json:"max_crashes"`
	ServiceLimit  time.Duration `json:"service_limit"`
}

// Defaults returns the settings with all their default values.
func Defaults() Settings {
	var settings Settings
	_ = settings.Loader().Load(nil, func(string) (string, bool) { return "", false })
	return settings
}

// Loader returns a loader that fills the settings from flags and environment variables.
func (settings *Settings) Loader() *loader.Loader {
	loader := loader.New("agent", "Runs next to one backend server and controls which requests and orders reach it.", cranberryward.Version)
	loader.Required(&settings.ID, "id", "Name of this instance, as in the instance list")
	loader.Required(&settings.Zone, "zone", "Availability zone of this instance")
	loader.Choice(&settings.Role, "role", "engine", "What the backend server runs", "engine", "service")
	loader.Address(&settings.Listen, "listen", "127.0.0.1:7301", "Address for requests from entries")
	loader.Address(&settings.PeerListen, "peer-listen", "127.0.0.1:7302", "Address for RPC calls from other processes of the deployment")
	loader.Address(&settings.Backend, "backend", "127.0.0.1:7401", "Address of the backend server")
	loader.Text(&settings.Group, "group", "", "Lock-step group of the engine")
	loader.Number(&settings.Rank, "rank", 0, 0, 4095, "rank", "Rank of the engine within its group")
	loader.Text(&settings.Service, "service", "", "Name of the plain service")
	loader.Text(&settings.Model, "model", "", "Model that the engine runs")
	loader.Address(&settings.KeyValue, "key-value", "127.0.0.1:7101", "Address of the platform's key-value service")
	loader.Address(&settings.InstanceList, "instance-list", "127.0.0.1:7102", "Address of the platform's instance list")
	loader.Text(&settings.Advertise, "advertise", "", "Address under which others reach the listen address, when it differs")
	loader.Text(&settings.PeerAdvertise, "peer-advertise", "", "Address under which others reach the peer-listen address, when it differs")
	loader.Secret(&settings.SharedKey, "shared-key", "Key with which the processes of the deployment authenticate to each other")
	loader.Choice(&settings.LogLevel, "log-level", "info", "Lowest level of log lines", "debug", "info", "warn", "error")
	loader.Number(&settings.MaxBody, "max-body", 1<<20, 1<<10, 64<<20, "bytes", "Longest request body")
	loader.Number(&settings.QueueLength, "queue-length", 256, 1, 100000, "requests", "Most requests that wait for the backend server")
	loader.Duration(&settings.HoldBound, "hold-bound", 2*time.Second, 50*time.Millisecond, time.Minute, "Longest time that a group is held at a step boundary")
	loader.Duration(&settings.MaxAge, "max-age", 5*time.Second, time.Second, time.Minute, "Age of the last confirmation of the configuration up to which disruptive operations are allowed")
	loader.Duration(&settings.ClockError, "clock-error", time.Second, 0, time.Minute, "Largest difference between clocks of instances")
	loader.Duration(&settings.HomeLifetime, "home-lifetime", 8*time.Second, time.Second, time.Hour, "Time that an instance keeps acting as a key home without confirmation that it still is one")
	loader.Duration(&settings.ListLag, "list-lag", 3*time.Second, 0, time.Minute, "Largest lag of the instance list")
	loader.Duration(&settings.KeyRetention, "key-retention", 24*time.Hour, time.Minute, 240*time.Hour, "Time for which an idempotency key is stored")
	loader.Number(&settings.KeyCapacity, "key-capacity", 200000, 1, 10000000, "keys", "Most idempotency keys stored")
	loader.Duration(&settings.StopLimit, "stop-limit", 30*time.Second, 0, time.Hour, "Longest wait for requests in progress at a planned stop")
	loader.Number(&settings.MaxCrashes, "max-crashes", 2, 1, 100, "crashes", "Crashes after which a request is quarantined")
	loader.Duration(&settings.ServiceLimit, "service-limit", 30*time.Second, time.Millisecond, time.Hour, "Longest time for one call of a plain service")
	loader.Duration(&settings.StopGrace, "stop-grace", 500*time.Millisecond, 0, time.Minute, "Time that a stopping agent goes on refusing requests before it closes its listener")
	return loader
}

func (settings Settings) newInstance() cranberryward.Instance {
	instance := cranberryward.Instance{
		ID:          settings.ID,
		Zone:        settings.Zone,
		Role:        cranberryward.Role(settings.Role),
		Address:     cmp.Or(settings.Advertise, settings.Listen),
		PeerAddress: cmp.Or(settings.PeerAdvertise, settings.PeerListen),
		Backend:     settings.Backend,
		Group:       settings.Group,
		Rank:        settings.Rank,
		Service:     settings.Service,
		Model:       settings.Model,
		Incarnation: ulid.Make().String(),
	}
	return instance
}
