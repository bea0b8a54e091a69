package server

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/loader"
	"github.com/cranberryward/cranberryward/planner"
	"github.com/oklog/ulid/v2"
)

const (
	weightsParlamigo = "parlamigo"
	weightsBrazos    = "brazos-flats"

	// RoleViewer may read from the administration interface.
	RoleViewer = "viewer"
	// RoleOperator may also submit sheets and corrections.
	RoleOperator = "operator"
)

// Settings are the effective settings of an entry.
type Settings struct {
	ID             string        `json:"id"`
	Zone           string        `json:"zone"`
	Listen         string        `json:"listen"`
	AdminListen    string        `json:"admin_listen"`
	PeerListen     string        `json:"peer_listen"`
	KeyValue       string        `json:"key_value"`
	InstanceList   string        `json:"instance_list"`
	Advertise      string        `json:"advertise"`
	PeerAdvertise  string        `json:"peer_advertise"`
	SharedKey      string        `json:"-"`
	Tokens         []Token       `json:"-"`
	Services       []Service     `json:"services"`
	Weights        string        `json:"weights"`
	LogLevel       string        `json:"log_level"`
	MaxBody        int           `json:"max_body"`
	Memory         int           `json:"memory"`
	Descriptors    int           `json:"descriptors"`
	Deadline       time.Duration `json:"deadline"`
	Attempts       int           `json:"attempts"`
	MaxCrashes     int           `json:"max_crashes"`
	QuarantineTime time.Duration `json:"quarantine_time"`
	InForceWait    time.Duration `json:"in_force_wait"`
	LeaseTTL       time.Duration `json:"lease_ttl"`
	PlanInterval   time.Duration `json:"plan_interval"`
	PrepareLimit   time.Duration `json:"prepare_limit"`
	ChangeTime     time.Duration `json:"change_time"`
	ClockError     time.Duration `json:"clock_error"`
	MaxAge         time.Duration `json:"max_age"`
	WeightRate     int           `json:"weight_rate"`
	SpareExperts   int           `json:"spare_experts"`
	ExpertBytes    int           `json:"expert_bytes"`
	StopLimit      time.Duration `json:"stop_limit"`
	StopGrace      time.Duration `json:"stop_grace"`
}

// Token is the hash of an administration token, with its role.
type Token struct {
	role string
	hash [sha256.Size]byte
}

// NewToken returns the token for a secret.
func NewToken(role, secret string) Token {
	return Token{
		role: role,
		hash: sha256.Sum256([]byte(secret)),
	}
}

// Service is a plain service, with the rules for which of its calls are idempotent.
type Service struct {
	name       string
	idempotent []callRule
}

// Name returns the service's name.
func (service Service) Name() string { return service.name }

type callRule struct {
	method string
	prefix string
}

// Idempotent returns whether a call is idempotent according to the service's rules.
func (service Service) Idempotent(method, path string) bool {
	for _, rule := range service.idempotent {
		if rule.method == method && strings.HasPrefix(path, rule.prefix) {
			return true
		}
	}
	return false
}

// ParseServices parses a setting such as booking=GET:/|POST:/quotes,dispatch=GET:/, and returns the expected form if it is invalid.
func ParseServices(value string) (services []Service, expected string) {
	const form = "name=METHOD:/prefix|METHOD:/prefix, services separated by commas"
	for _, part := range strings.Split(value, ",") {
		if part == "" {
			continue
		}
		name, rules, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return nil, form
		}
		service := Service{
			name: name,
		}
		for _, rule := range strings.Split(rules, "|") {
			if rule == "" {
				continue
			}
			method, prefix, ok := strings.Cut(rule, ":")
			if !ok || !strings.HasPrefix(prefix, "/") || method == "" || method != strings.ToUpper(method) {
				return nil, form
			}
			service.idempotent = append(service.idempotent, callRule{
				method: method,
				prefix: prefix,
			})
		}
		services = append(services, service)
	}
	return services, ""
}

func parseTokens(value string) (tokens []Token, expected string) {
	const form = "viewer:SHA-256 or operator:SHA-256 in hexadecimal, separated by commas"
	for _, part := range strings.Split(value, ",") {
		if part == "" {
			continue
		}
		role, digest, _ := strings.Cut(part, ":")
		raw, err := hex.DecodeString(digest)
		if !slices.Contains([]string{RoleViewer, RoleOperator}, role) || err != nil || len(raw) != sha256.Size {
			return nil, form
		}
		token := Token{
			role: role,
		}
		copy(token.hash[:], raw)
		tokens = append(tokens, token)
	}
	return tokens, ""
}

// Defaults returns the default settings.
func Defaults() Settings {
	var settings Settings
	_ = settings.Loader().Load(nil, func(string) (string, bool) { return "", false })
	return settings
}

// Loader returns a loader that sets the settings from flags and environment variables.
func (settings *Settings) Loader() *loader.Loader {
	loader := loader.New("entry", "Takes requests from callers and routes them to backend servers.", cranberryward.Version)
	loader.Required(&settings.ID, "id", "Name of this instance, as in the instance list")
	loader.Required(&settings.Zone, "zone", "Availability zone of this instance")
	loader.Address(&settings.Listen, "listen", "127.0.0.1:7201", "Address for callers")
	loader.Address(&settings.AdminListen, "admin-listen", "127.0.0.1:7202", "Address for operators")
	loader.Address(&settings.PeerListen, "peer-listen", "127.0.0.1:7203", "Address for RPC calls from other processes of the deployment")
	loader.Address(&settings.KeyValue, "key-value", "127.0.0.1:7101", "Address of the platform's key-value service")
	loader.Address(&settings.InstanceList, "instance-list", "127.0.0.1:7102", "Address of the platform's instance list")
	loader.Text(&settings.Advertise, "advertise", "", "Address under which others reach the listen address, when it differs")
	loader.Text(&settings.PeerAdvertise, "peer-advertise", "", "Address under which others reach the peer-listen address, when it differs")
	loader.Secret(&settings.SharedKey, "shared-key", "Key with which the processes of the deployment authenticate to each other")
	loader.Func("tokens", "role:hash,...", "", "Administration tokens as hashes with their roles", func(value string) (expected string) {
		settings.Tokens, expected = parseTokens(value)
		return expected
	})
	loader.Func("services", "name=METHOD:/prefix|...", "", "Plain services and which of their calls are idempotent", func(value string) (expected string) {
		settings.Services, expected = ParseServices(value)
		return expected
	})
	loader.Choice(&settings.Weights, "weights", weightsParlamigo, "Named set of weights for skew and rebalancing cost with which expert maps are chosen", weightsParlamigo, weightsBrazos)
	loader.Choice(&settings.LogLevel, "log-level", "info", "Lowest level of log lines", "debug", "info", "warn", "error")
	loader.Number(&settings.MaxBody, "max-body", 1<<20, 1<<10, 64<<20, "bytes", "Longest request body")
	loader.Number(&settings.Memory, "memory", 1<<30, 64<<20, 1<<40, "bytes", "Memory of the machine that the entry may use; 24 MiB and 20 times max-body are needed")
	loader.Number(&settings.Descriptors, "descriptors", 0, 0, 1<<20, "descriptors", "Most descriptors that the entry may open; 0 bounds its connections by memory alone")
	loader.Duration(&settings.Deadline, "deadline", 30*time.Second, 10*time.Millisecond, time.Hour, "Deadline of requests that name none")
	loader.Number(&settings.Attempts, "attempts", 4, 1, 16, "attempts", "Most attempts to send one request to a backend server")
	loader.Number(&settings.MaxCrashes, "max-crashes", 2, 1, 100, "crashes", "Crashes after which a request is quarantined")
	loader.Duration(&settings.QuarantineTime, "quarantine-time", time.Hour, time.Second, 240*time.Hour, "Time for which a crash counts against a request")
	loader.Duration(&settings.InForceWait, "in-force-wait", 5*time.Second, 0, time.Minute, "Longest wait until a submission is in force in every zone")
	loader.Duration(&settings.LeaseTTL, "lease-ttl", 4*time.Second, 200*time.Millisecond, time.Minute, "Time to live of a group controller's lease")
	loader.Duration(&settings.PlanInterval, "plan-interval", time.Minute, 100*time.Millisecond, time.Hour, "Time between placement decisions")
	loader.Duration(&settings.PrepareLimit, "prepare-limit", 2*time.Minute, time.Second, time.Hour, "Longest time for loading a new map's weights")
	loader.Duration(&settings.ChangeTime, "change-time", 5*time.Second, 100*time.Millisecond, time.Hour, "Time reserved for a change before a quiet window opens")
	loader.Duration(&settings.ClockError, "clock-error", time.Second, 0, time.Minute, "Largest difference between clocks of instances")
	loader.Duration(&settings.MaxAge, "max-age", 5*time.Second, time.Second, time.Minute, "Age of the last confirmation of the configuration up to which disruptive operations are allowed")
	loader.Number(&settings.WeightRate, "weight-rate", 1<<30, 1, 1<<40, "bytes a second", "Rate of the weight store for one group")
	loader.Number(&settings.SpareExperts, "spare-experts", 8, 0, 1<<20, "experts", "Experts whose weights a rank can hold besides those of its map")
	loader.Number(&settings.ExpertBytes, "expert-bytes", 1<<20, 1, 1<<40, "bytes", "Size of one expert's weights")
	loader.Duration(&settings.StopLimit, "stop-limit", 30*time.Second, 0, time.Hour, "Longest wait for requests in progress at a planned stop")
	loader.Duration(&settings.StopGrace, "stop-grace", time.Second, 0, time.Minute, "Time for which a stopping entry still accepts requests while it reports that it is not ready")
	return loader
}

func (settings Settings) newInstance() cranberryward.Instance {
	return cranberryward.Instance{
		ID:          settings.ID,
		Zone:        settings.Zone,
		Role:        cranberryward.RoleEntry,
		Address:     cmp.Or(settings.Advertise, settings.Listen),
		PeerAddress: cmp.Or(settings.PeerAdvertise, settings.PeerListen),
		Incarnation: ulid.Make().String(),
	}
}

func (settings Settings) plannerWeights() planner.Weights {
	if settings.Weights == weightsBrazos {
		return planner.BrazosFlatsWeights()
	}
	return planner.ParlamigoWeights()
}
