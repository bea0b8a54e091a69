package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/configurer"
	"github.com/cranberryward/cranberryward/controller"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/gorilla/mux"
)

const (
	maxAdminBodyBytes = 4 << 20
	bearerPrefix      = "Bearer "
)

// WindowStatus says when a quiet window is or will next be open.
type WindowStatus struct {
	Name   string    `json:"name"`
	Zone   string    `json:"zone"`
	Open   bool      `json:"open"`
	Opens  time.Time `json:"opens"`
	Closes time.Time `json:"closes"`
}

// Status is the state of the deployment as known to one entry.
type Status struct {
	Instance    string              `json:"instance"`
	Zone        string              `json:"zone"`
	Version     string              `json:"version"`
	Revision    uint64              `json:"revision"`
	Confirmed   bool                `json:"confirmed"`
	AgeMS       int64               `json:"age_ms"`
	Zones       []ZoneStatus        `json:"zones"`
	Groups      []controller.Status `json:"groups"`
	Leaving     []string            `json:"leaving"`
	Windows     []WindowStatus      `json:"windows"`
	Quarantines []string            `json:"quarantines"`
}

func (entry *entry) adminHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", entry.handleReady).Methods(http.MethodGet)
	viewer := router.NewRoute().Subrouter()
	viewer.Use(entry.requireRole(RoleViewer))
	viewer.HandleFunc("/admin/v1/configuration", entry.handleConfiguration).Methods(http.MethodGet)
	viewer.HandleFunc("/admin/v1/status", entry.handleStatus).Methods(http.MethodGet)
	viewer.HandleFunc("/admin/v1/zones", entry.handleZones).Methods(http.MethodGet)
	viewer.HandleFunc("/admin/v1/explain/{name}", entry.handleExplain).Methods(http.MethodGet)
	viewer.HandleFunc("/admin/v1/history", entry.handleHistory).Methods(http.MethodGet)
	viewer.HandleFunc("/debug/vars", entry.handleVars).Methods(http.MethodGet)
	viewer.PathPrefix("/debug/pprof/").HandlerFunc(handleProfile)
	operator := router.NewRoute().Subrouter()
	operator.Use(entry.requireRole(RoleOperator))
	operator.HandleFunc("/admin/v1/submissions", entry.handleSubmission).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(handleNotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(handleNotFound)
	return router
}

// roleOf returns the role of a request's token, or an empty string, and compares with every token in constant time.
func (entry *entry) roleOf(request *http.Request) string {
	authorization := request.Header.Get("Authorization")
	digest := sha256.Sum256([]byte(strings.TrimPrefix(authorization, bearerPrefix)))
	role := ""
	for _, token := range entry.settings.Tokens {
		if subtle.ConstantTimeCompare(digest[:], token.hash[:]) == 1 && strings.HasPrefix(authorization, bearerPrefix) {
			role = token.role
		}
	}
	return role
}

func (entry *entry) requireRole(role string) mux.MiddlewareFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if granted := entry.roleOf(request); granted != role && granted != RoleOperator {
				listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnauthorized,
					"a bearer token with the role "+role+" is required").WithResend(false))
				return
			}
			next.ServeHTTP(writer, request)
		})
	}
}

func (entry *entry) handleConfiguration(writer http.ResponseWriter, _ *http.Request) {
	configuration := entry.localState.Configuration()
	configuration.Accepted = nil
	listener.WriteJSON(writer, http.StatusOK, configuration)
}

func (entry *entry) handleHistory(writer http.ResponseWriter, _ *http.Request) {
	listener.WriteJSON(writer, http.StatusOK, entry.localState.RecentEntries())
}

func (entry *entry) handleZones(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	revision, wait, err := parseZonesQuery(query.Get("revision"), query.Get("wait"))
	if err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	if query.Get("revision") == "" {
		revision = entry.localState.Revision()
	}
	listener.WriteJSON(writer, http.StatusOK, entry.zoneStatuses(request.Context(), revision, min(wait, entry.settings.InForceWait)))
}

// parseZonesQuery parses the revision and the wait of a query for zones, each of which may be empty.
func parseZonesQuery(revisionText, waitText string) (revision uint64, wait time.Duration, err error) {
	if revisionText != "" {
		if revision, err = strconv.ParseUint(revisionText, 10, 64); err != nil {
			return 0, 0, invalidQuery("revision", revisionText, "a number from 0")
		}
	}
	if waitText != "" {
		if wait, err = time.ParseDuration(waitText); err != nil || wait < 0 {
			return 0, 0, invalidQuery("wait", waitText, "a duration such as 2s")
		}
	}
	return revision, wait, nil
}

func invalidQuery(name, value, expected string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "query parameter "+name+": "+strconv.Quote(value)+", expected "+expected).WithResend(false)
}

func (entry *entry) handleExplain(writer http.ResponseWriter, request *http.Request) {
	name := mux.Vars(request)["name"]
	lines := entry.recorder.Lines(name)
	if len(lines) == 0 {
		listener.WriteError(writer, name, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNotFound,
			"this entry remembers nothing about "+strconv.Quote(name)).WithResend(false))
		return
	}
	listener.WriteJSON(writer, http.StatusOK, lines)
}

func (entry *entry) handleStatus(writer http.ResponseWriter, request *http.Request) {
	age, confirmed := entry.localState.Age()
	configuration := entry.localState.Configuration()
	status := Status{
		Instance:  entry.settings.ID,
		Zone:      entry.settings.Zone,
		Version:   cranberryward.Version,
		Revision:  configuration.Revision,
		Confirmed: confirmed && age <= entry.settings.MaxAge,
		AgeMS:     age.Milliseconds(),
		Zones:     entry.zoneStatuses(request.Context(), configuration.Revision, 0),
		Groups:    entry.groupStatuses(),
	}
	if !confirmed {
		status.AgeMS = -1
	}
	entry.addEffectiveStatus(&status, configuration)
	listener.WriteJSON(writer, http.StatusOK, status)
}

func (entry *entry) groupStatuses() []controller.Status {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	groups := []controller.Status{}
	for _, runningController := range entry.controllers {
		if status, holdsLease := runningController.controller.Status(); holdsLease {
			groups = append(groups, status)
		}
	}
	return groups
}

// addEffectiveStatus adds what follows from the effective configuration: leaving instances, quiet windows and quarantined requests.
func (entry *entry) addEffectiveStatus(status *Status, configuration cranberryward.Configuration) {
	now := time.Now()
	effectiveConfiguration := configurer.NewEffectiveConfiguration(configuration, now)
	for _, instance := range entry.localState.Membership().Instances {
		if effectiveConfiguration.Leaving(instance.ID) || instance.Leaving {
			status.Leaving = append(status.Leaving, instance.ID)
		}
	}
	for _, window := range effectiveConfiguration.Calendar().Windows() {
		opens, closes, ok := window.Next(now)
		if ok {
			status.Windows = append(status.Windows, WindowStatus{
				Name:   window.Name(),
				Zone:   window.Zone(),
				Open:   !opens.After(now),
				Opens:  opens,
				Closes: closes,
			})
		}
	}
	seen := map[string]bool{}
	for _, correction := range configuration.Corrections {
		if correction.Kind == cranberryward.CorrectCrash && effectiveConfiguration.Crashes(correction.Name) >= entry.quarantineThreshold(correction.Name) && !seen[correction.Name] {
			seen[correction.Name] = true
			status.Quarantines = append(status.Quarantines, correction.Name)
		}
	}
}

func (entry *entry) handleSubmission(writer http.ResponseWriter, request *http.Request) {
	var submission cranberryward.Submission
	reservation := entry.memory.Reserve()
	defer reservation.Close()
	body, err := entry.readBody(writer, request, reservation, maxAdminBodyBytes, time.Now().Add(entry.settings.Deadline))
	if err == nil {
		err = listener.DecodeJSON(body, &submission)
	}
	if err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	status, err := entry.submit(request.Context(), submission, entry.settings.InForceWait)
	if err != nil {
		listener.WriteError(writer, submission.ID, err)
		return
	}
	code := http.StatusOK
	if !status.InForce {
		code = http.StatusAccepted
	}
	listener.WriteJSON(writer, code, status)
}

func (entry *entry) handleVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	received, sent := entry.peerServer.Traffic()
	clientReceived, clientSent := entry.rpcClient.Traffic()
	control := new(expvar.Map)
	control.Add("control_bytes_received", received+clientReceived)
	control.Add("control_bytes_sent", sent+clientSent)
	_, _ = writer.Write([]byte(`{"entry":` + entry.metrics.values.String() + `,"control":` + control.String() + `}`))
}

func handleProfile(writer http.ResponseWriter, request *http.Request) {
	switch strings.TrimPrefix(request.URL.Path, "/debug/pprof/") {
	case "profile":
		pprof.Profile(writer, request)
	case "trace":
		pprof.Trace(writer, request)
	default:
		pprof.Index(writer, request)
	}
}
