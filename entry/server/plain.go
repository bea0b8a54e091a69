package server

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/pool"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/router"
	"github.com/cranberryward/cranberryward/waiter"
	"github.com/gorilla/mux"
)

const (
	servicesPrefix   = "/services/"
	homeTableTimeout = time.Second
	homeRetryDelay   = 150 * time.Millisecond
)

// hopByHopHeaders are the headers that are not forwarded in either direction, because they apply to a single connection or are set again for the next one.
var hopByHopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
	"Host":              true,
}

// homeTables caches the newest known table of key homes of each service.
type homeTables struct {
	mutex  sync.Mutex
	tables map[string]deduplicator.Table
}

func newHomeTables() *homeTables {
	return &homeTables{
		tables: map[string]deduplicator.Table{},
	}
}

func (homeTables *homeTables) get(service string) deduplicator.Table {
	homeTables.mutex.Lock()
	defer homeTables.mutex.Unlock()
	return homeTables.tables[service]
}

func (homeTables *homeTables) update(table deduplicator.Table) {
	homeTables.mutex.Lock()
	defer homeTables.mutex.Unlock()
	if table.Epoch > homeTables.tables[table.Service].Epoch {
		homeTables.tables[table.Service] = table
	}
}

// plainCall is the handling of one call of a plain service, over all its attempts.
type plainCall struct {
	entry       *entry
	metadata    metadata
	reservation *reserver.Reservation
	service     Service
	serviceCall cranberryward.ServiceCall
	fingerprint string
	tried       map[string]bool
	mayHaveRun  bool
	attempts    int
}

func (entry *entry) handleService(writer http.ResponseWriter, request *http.Request) {
	metadata, err := entry.readMetadata(request)
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	reservation := entry.memory.Reserve()
	defer reservation.Close()
	plainCall, err := entry.newPlainCall(writer, request, metadata, reservation)
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	entry.metrics.increment("service_requests")
	entry.retryBudget.Deposit()
	ctx, cancel := context.WithTimeout(request.Context(), metadata.deadline)
	defer cancel()
	serviceResponse, err := plainCall.run(ctx)
	_ = entry.logger.Log("event", "service_request", "request_id", metadata.requestID, "workspace", metadata.workspace, "service", plainCall.service.name,
		"verdict", cranberryward.VerdictOf(err), "attempts", plainCall.attempts, "took_ms", elapsed(metadata).Milliseconds(),
		"revision", entry.localState.Revision(), "error", err)
	entry.metrics.record(entry.metrics.requestDuration, elapsed(metadata))
	if err != nil {
		entry.writeFailure(writer, metadata, err)
		return
	}
	writeServiceResponse(writer, metadata, serviceResponse)
}

func writeServiceResponse(writer http.ResponseWriter, metadata metadata, serviceResponse cranberryward.ServiceResponse) {
	listed := connectionHeaders(serviceResponse.Header)
	for name, values := range serviceResponse.Header {
		if !hopByHopHeaders[name] && !listed[name] {
			writer.Header()[name] = values
		}
	}
	writer.Header().Set(cranberryward.HeaderRequestID, metadata.requestID)
	writer.Header().Set(cranberryward.HeaderVerdict, cranberryward.Ran.String())
	writer.Header().Set("Content-Length", strconv.Itoa(len(serviceResponse.Body)))
	writer.WriteHeader(serviceResponse.Status)
	_, _ = writer.Write(serviceResponse.Body)
}

func (entry *entry) newPlainCall(writer http.ResponseWriter, request *http.Request, metadata metadata, reservation *reserver.Reservation) (*plainCall, error) {
	name := mux.Vars(request)["service"]
	path := strings.TrimPrefix(request.URL.EscapedPath(), servicesPrefix+name)
	plainCall := &plainCall{
		entry:       entry,
		metadata:    metadata,
		reservation: reservation,
		tried:       map[string]bool{},
	}
	known := false
	for _, service := range entry.settings.Services {
		if service.name == name {
			plainCall.service = service
			known = true
		}
	}
	if !known {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNotFound, "no service "+strconv.Quote(name)+" is configured").WithResend(false)
	}
	body, err := entry.readCall(writer, request, metadata, reservation)
	if err != nil {
		return nil, err
	}
	plainCall.serviceCall = cranberryward.ServiceCall{
		RequestID:  metadata.requestID,
		Workspace:  metadata.workspace,
		Service:    name,
		Method:     request.Method,
		Path:       path,
		Query:      request.URL.RawQuery,
		Header:     forwardedHeaders(request.Header),
		Body:       body,
		Key:        metadata.key,
		Idempotent: plainCall.service.Idempotent(request.Method, path),
	}
	plainCall.fingerprint = quarantiner.Fingerprint(metadata.workspace, request.Method, path, request.URL.RawQuery, string(body))
	if !plainCall.serviceCall.Idempotent && metadata.key == "" {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonKeyRequired,
			"header "+cranberryward.HeaderIdempotencyKey+": expected a key, because "+request.Method+" "+path+" is not idempotent; POST /v1/idempotency-keys returns one").WithResend(false)
	}
	return plainCall, nil
}

func forwardedHeaders(header http.Header) map[string][]string {
	forwarded := map[string][]string{}
	listed := connectionHeaders(header)
	for name, values := range header {
		if !hopByHopHeaders[name] && !listed[name] && !strings.HasPrefix(name, "Cranberryward-") {
			forwarded[name] = values
		}
	}
	return forwarded
}

// connectionHeaders returns the headers that a Connection header names, which apply to that connection only.
func connectionHeaders(header http.Header) map[string]bool {
	listed := map[string]bool{}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

func (plainCall *plainCall) run(ctx context.Context) (cranberryward.ServiceResponse, error) {
	entry := plainCall.entry
	if entry.localState.EffectiveConfiguration().Crashes(plainCall.fingerprint) >= entry.settings.MaxCrashes {
		return cranberryward.ServiceResponse{}, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonQuarantined,
			"the request has crashed backend servers and is quarantined").WithResend(false)
	}
	if plainCall.serviceCall.Idempotent {
		return plainCall.runIdempotent(ctx)
	}
	return plainCall.runAtHome(ctx)
}

func (plainCall *plainCall) send(ctx context.Context, instance cranberryward.Instance, attempt *pool.Attempt) (cranberryward.ServiceResponse, error) {
	plainCall.attempts++
	agentResponse, serviceResponse, err := plainCall.entry.agentClient.callService(ctx, plainCall.reservation, instance.Address, plainCall.serviceCall, plainCall.metadata.priority,
		plainCall.metadata.remaining(), plainCall.entry.localState.Revision())
	if attempt != nil {
		attempt.Finish(err, agentResponse.load, agentResponse.hasLoad)
	}
	plainCall.mayHaveRun = plainCall.mayHaveRun || cranberryward.VerdictOf(err) == cranberryward.MayHaveRun
	if err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonCrashed {
		plainCall.entry.recordCrash(ctx, plainCall.fingerprint)
	}
	return serviceResponse, err
}

// runIdempotent sends the call to one backend server after another, as long as the attempt limit, the retry budget and the deadline allow.
func (plainCall *plainCall) runIdempotent(ctx context.Context) (cranberryward.ServiceResponse, error) {
	entry := plainCall.entry
	for {
		instance, attempt, err := plainCall.chooseServer(ctx)
		if err != nil {
			return cranberryward.ServiceResponse{}, plainCall.withOverallVerdict(err)
		}
		plainCall.tried[instance.ID] = true
		serviceResponse, err := plainCall.send(ctx, instance, attempt)
		if err == nil {
			return serviceResponse, nil
		}
		reason := cranberryward.FailureOf(err).Reason()
		exemptFromBudget := reason == cranberryward.ReasonLeaving || reason == cranberryward.ReasonStopping
		if ctx.Err() != nil || reason == cranberryward.ReasonQuarantined || plainCall.attempts >= entry.settings.Attempts || !exemptFromBudget && !entry.retryBudget.Withdraw() {
			return serviceResponse, plainCall.withOverallVerdict(err)
		}
	}
}

// withOverallVerdict returns the last failure, with the verdict MayHaveRun if the call may have run in any attempt.
func (plainCall *plainCall) withOverallVerdict(err error) error {
	failure := cranberryward.FailureOf(err)
	if !plainCall.mayHaveRun || failure.Verdict() == cranberryward.MayHaveRun {
		return err
	}
	return cranberryward.NewFailure(cranberryward.MayHaveRun, failure.Reason(), failure.Message()).
		WithCause(err).WithResend(true).WithRetryAfter(failure.RetryAfter())
}

func (plainCall *plainCall) chooseServer(ctx context.Context) (cranberryward.Instance, *pool.Attempt, error) {
	entry, effectiveConfiguration := plainCall.entry, plainCall.entry.localState.EffectiveConfiguration()
	excluded := func(id string) bool { return plainCall.tried[id] || effectiveConfiguration.Leaving(id) }
	routingRequest := router.NewRequest(nil, len(plainCall.serviceCall.Body), plainCall.metadata.priority, plainCall.metadata.remaining())
	if pool, ok := entry.pools.find(servicePoolName(plainCall.service.name)); ok {
		if attempt, found := pool.Choose(routingRequest, excluded); found {
			plainCall.logRoute(attempt.Instance().ID, "own_zone", attempt.Choice())
			return attempt.Instance(), attempt, nil
		}
	}
	instance, found := entry.chooseServerInOtherZone(ctx, excluded, func(instance cranberryward.Instance) bool {
		return instance.Role == cranberryward.RoleService && instance.Service == plainCall.service.name
	})
	if !found {
		return instance, nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNoBackendServer,
			"no backend server is available for service "+plainCall.service.name).WithRetryAfter(time.Second)
	}
	plainCall.logRoute(instance.ID, "other_zone", router.Choice{})
	return instance, nil, nil
}

func (plainCall *plainCall) logRoute(chosen, why string, choice router.Choice) {
	age, _ := plainCall.entry.localState.Age()
	_ = plainCall.entry.logger.Log("event", "route", "request_id", plainCall.metadata.requestID, "workspace", plainCall.metadata.workspace,
		"chosen", chosen, "why", why, "load_age_ms", choice.ReportAge().Milliseconds(), "configuration_age_ms", age.Milliseconds(),
		"revision", plainCall.entry.localState.Revision())
}

// runAtHome sends the call to the home of its key, and retries as long as the deadline allows, which is safe because the home stores the key.
func (plainCall *plainCall) runAtHome(ctx context.Context) (cranberryward.ServiceResponse, error) {
	shard := deduplicator.ShardOf(plainCall.metadata.key)
	for {
		home := plainCall.entry.homeTables.get(plainCall.service.name).Homes[shard]
		err := error(cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonHomeUnconfirmed, "the home of the key is unknown").WithRetryAfter(time.Second))
		if home.Instance != "" {
			plainCall.logRoute(home.Instance, "key_home", router.Choice{})
			var serviceResponse cranberryward.ServiceResponse
			serviceResponse, err = plainCall.send(ctx, cranberryward.Instance{
				ID:      home.Instance,
				Address: home.Address,
			}, nil)
			if err == nil {
				return serviceResponse, nil
			}
		}
		if !plainCall.mayRetryHome(ctx, err) {
			return cranberryward.ServiceResponse{}, plainCall.withOverallVerdict(err)
		}
		plainCall.entry.refreshHomeTable(ctx, plainCall.service.name)
		waiter.Sleep(ctx, homeRetryDelay)
	}
}

func (plainCall *plainCall) mayRetryHome(ctx context.Context, err error) bool {
	if ctx.Err() != nil || plainCall.metadata.remaining() < 2*homeRetryDelay {
		return false
	}
	switch cranberryward.FailureOf(err).Reason() {
	case cranberryward.ReasonHomeUnconfirmed, cranberryward.ReasonStopping, cranberryward.ReasonLeaving:
		return true
	case cranberryward.ReasonUnreachable, cranberryward.ReasonResponseBroken:
		return plainCall.entry.retryBudget.Withdraw()
	}
	return false
}

// refreshHomeTable fetches the table of key homes from the service's agents and keeps the newest.
func (entry *entry) refreshHomeTable(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, homeTableTimeout)
	defer cancel()
	agents := entry.localState.Membership().Select(func(instance cranberryward.Instance) bool { return instance.Service == service })
	if membership, err := entry.listAllZones(ctx, zoneCacheTTL); err == nil {
		agents = append(agents, membership.Select(func(instance cranberryward.Instance) bool { return instance.Service == service })...)
	}
	var waitGroup sync.WaitGroup
	seen := map[string]bool{}
	for _, agent := range agents {
		if seen[agent.ID] {
			continue
		}
		seen[agent.ID] = true
		waitGroup.Go(func() {
			var table deduplicator.Table
			if entry.rpcClient.Call(ctx, agent.PeerAddress, "Agent.Homes", messenger.HomesRequest{}, &table) == nil {
				entry.homeTables.update(table)
			}
		})
	}
	waitGroup.Wait()
}
