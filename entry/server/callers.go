package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"
)

const (
	defaultWorkspace    = "default"
	maxHeaderValueBytes = 256
	maxPriority         = 9
	maxDeadline         = time.Hour
)

// metadata holds the values of a caller's request headers, with defaults applied, and the request's id and arrival time.
type metadata struct {
	requestID string
	workspace string
	priority  int
	deadline  time.Duration
	key       string
	started   time.Time
}

func (entry *entry) callerHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", entry.handleChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", entry.handleCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", entry.handleModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/idempotency-keys", handleNewKey).Methods(http.MethodPost)
	router.PathPrefix("/services/{service}/").HandlerFunc(entry.handleService)
	router.HandleFunc("/healthz", handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", entry.handleReady).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(handleNotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(handleNotFound)
	return router
}

func handleNotFound(writer http.ResponseWriter, request *http.Request) {
	listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNotFound,
		"no such path or method: "+request.Method+" "+request.URL.Path).WithResend(false))
}

func handleHealth(writer http.ResponseWriter, _ *http.Request) {
	listener.WriteJSON(writer, http.StatusOK, map[string]string{"status": "ok"})
}

func (entry *entry) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !entry.ready() {
		listener.WriteError(writer, "", cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonPlatformUnavailable, "the entry is starting or stopping"))
		return
	}
	handleHealth(writer, nil)
}

func handleNewKey(writer http.ResponseWriter, _ *http.Request) {
	listener.WriteJSON(writer, http.StatusOK, map[string]string{"idempotency_key": deduplicator.NewKey()})
}

func invalid(field, expected, found string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid,
		field+": expected "+expected+", found "+strconv.Quote(found)).WithResend(false)
}

// readMetadata reads the headers that any request may have, and applies the defaults.
func (entry *entry) readMetadata(request *http.Request) (metadata, error) {
	metadata := metadata{
		requestID: ulid.Make().String(),
		workspace: defaultWorkspace,
		deadline:  entry.settings.Deadline,
		key:       request.Header.Get(cranberryward.HeaderIdempotencyKey),
		started:   time.Now(),
	}
	if workspace := request.Header.Get(cranberryward.HeaderWorkspace); workspace != "" {
		metadata.workspace = workspace
	}
	for _, name := range []string{cranberryward.HeaderWorkspace, cranberryward.HeaderIdempotencyKey} {
		if value := request.Header.Get(name); len(value) > maxHeaderValueBytes {
			return metadata, invalid("header "+name, "at most "+strconv.Itoa(maxHeaderValueBytes)+" bytes", value[:maxHeaderValueBytes])
		}
	}
	metadata.priority = entry.localState.EffectiveConfiguration().Priority(metadata.workspace)
	if text := request.Header.Get(cranberryward.HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > maxPriority {
			return metadata, invalid("header "+cranberryward.HeaderPriority, "a whole number from 0 to 9", text)
		}
		metadata.priority = min(metadata.priority, priority)
	}
	if text := request.Header.Get(cranberryward.HeaderDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 || deadline > maxDeadline {
			return metadata, invalid("header "+cranberryward.HeaderDeadline, "a duration with a unit up to 1h, such as 800ms", text)
		}
		metadata.deadline = deadline
	}
	if !entry.stopper.Accepts(metadata.started.Add(metadata.deadline)) {
		return metadata, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonStopping, "the entry ends before the deadline of the request")
	}
	return metadata, nil
}

func (metadata metadata) remaining() time.Duration {
	return metadata.deadline - time.Since(metadata.started)
}

func (entry *entry) handleModels(writer http.ResponseWriter, _ *http.Request) {
	models := []map[string]string{}
	seen := map[string]bool{}
	for _, instance := range entry.localState.Membership().Instances {
		if instance.Role == cranberryward.RoleEngine && !seen[instance.Model] {
			seen[instance.Model] = true
			models = append(models, map[string]string{
				"id":       instance.Model,
				"object":   "model",
				"owned_by": "cranberryward",
			})
		}
	}
	listener.WriteJSON(writer, http.StatusOK, map[string]any{
		"object": "list",
		"data":   models,
	})
}
