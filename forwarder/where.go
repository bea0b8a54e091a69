package forwarder

import (
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/rotisserie/eris"
)

// whereDraws is how often the choice of a backend server is drawn for an answer, as costs and choices are partly random.
const whereDraws = 32

// unknownBody stands for the fingerprint of a request whose body is not known, which none is equal to.
const unknownBody = "unknown"

// Where returns where a request would go now and why; it sends nothing and changes nothing. An error means that the question cannot be understood.
func (forwarder *Forwarder) Where(question cranberryward.WhereQuestion) (cranberryward.WhereAnswer, error) {
	var answer cranberryward.WhereAnswer
	exchange, err := newQuestioned(question)
	if err != nil {
		return answer, err
	}
	if table := forwarder.table.Load(); table != nil {
		answer.Version, answer.Revision = table.deployment.Version, table.deployment.Revision
	}
	status, denied := forwarder.find(exchange)
	if exchange.route != nil {
		answer.Route = exchange.route.Name
	}
	if exchange.workspace != nil {
		answer.Workspace = exchange.workspace.Name
	}
	if denied.reason == "" && question.BodyBytes > forwarder.bodyLimit() {
		status, denied = http.StatusRequestEntityTooLarge, denial{reason: "body_too_long"}
	}
	if denied.reason != "" {
		refused := refusedWith(status, denied)
		answer.Refusal = &refused
		return answer, nil
	}
	for _, share := range exchange.route.Split {
		if share.Weight > 0 {
			answer.Services = append(answer.Services, forwarder.whereIn(exchange, share))
		}
	}
	return answer, nil
}

// newQuestioned returns an exchange that is only asked about.
func newQuestioned(question cranberryward.WhereQuestion) (*exchange, error) {
	address, err := url.ParseRequestURI(question.Path)
	if err != nil {
		return nil, eris.Wrap(err, "path")
	}
	questioned := &exchange{
		request: &http.Request{
			Method:        question.Method,
			Host:          question.Host,
			URL:           address,
			ContentLength: question.BodyBytes,
		},
		metadata: cranberryward.RequestMetadata{
			Key:         question.Key,
			Remaining:   question.Remaining,
			PromptParts: question.PromptParts,
		},
		arrived: time.Now(),
	}
	if question.BodyBytes > 0 {
		questioned.cachedFingerprint = unknownBody
	}
	return questioned, nil
}

func refusedWith(status int, denied denial) cranberryward.WhereDecision {
	return cranberryward.WhereDecision{
		Decision:     cranberryward.WhereRefused,
		Reason:       denied.reason,
		Status:       status,
		RetryAfterMS: denied.retryAfter.Milliseconds(),
	}
}

// whereIn returns the decision for one service of the route.
func (forwarder *Forwarder) whereIn(questioned *exchange, share cranberryward.ServiceShare) cranberryward.WhereService {
	questioned.service = share.Service
	answer := cranberryward.WhereService{
		WhereDecision: cranberryward.WhereDecision{Decision: cranberryward.WhereNow},
		Service:       share.Service,
		Weight:        share.Weight,
		Loads:         forwarder.servers.loadAges(share.Service),
	}
	for _, verdict := range forwarder.quarantines(questioned) {
		answer.Quarantines = append(answer.Quarantines, cranberryward.WhereQuarantine{
			Part:        verdict.Part().ID,
			RemainingMS: max(verdict.Remaining(), 0).Milliseconds(),
			ProbeDue:    verdict.ProbeDue(),
		})
		answer.Decision, answer.Reason = cranberryward.WhereProbe, quarantineReason(verdict)
	}
	refusal := forwarder.decide(questioned, forwarder.copiedBelief(share.Service, func(hold time.Duration) {
		answer.Decision, answer.Reason, answer.WaitMS = cranberryward.WhereHold, "group_broken", hold.Milliseconds()
	}))
	var chosen map[string]int
	switch {
	case refusal.reason != "":
		answer.WhereDecision = refusedWith(http.StatusServiceUnavailable, refusal.denial)
	case questioned.permit() == nil:
		answer.WhereDecision = refusedWith(http.StatusServiceUnavailable, newDenial("no_time_left"))
	default:
		var none picked
		if chosen, none = forwarder.drawServers(questioned); len(chosen) > 0 {
			break
		}
		if none.wait > 0 && none.wait <= questioned.permitPatience() {
			answer.Decision, answer.Reason, answer.WaitMS = cranberryward.WhereWait, string(none.paced), none.wait.Milliseconds()
			break
		}
		answer.WhereDecision = refusedWith(http.StatusServiceUnavailable, none.denial())
	}
	for _, candidate := range forwarder.explain(share.Service, homesOf(questioned.route, questioned.workspace)) {
		answer.Servers = append(answer.Servers, forwarder.whereServer(candidate, chosen[candidate.Server]))
	}
	return answer
}

func (forwarder *Forwarder) whereServer(candidate explained, chosen int) cranberryward.WhereServer {
	server := cranberryward.WhereServer{
		Server:    candidate.Server,
		Zone:      candidate.Zone,
		OtherZone: candidate.Zone != forwarder.options.Zone,
		Reason:    string(candidate.Reason),
		InFlight:  candidate.inFlight,
		Slots:     candidate.slots,
		Share:     float64(chosen) / whereDraws,
	}
	if candidate.Reason != screener.Free && !candidate.Until.IsZero() {
		server.EndsInMS = max(time.Until(candidate.Until), 0).Milliseconds()
	}
	return server
}

// drawServers counts how often each backend server is chosen, and returns why none is if there is none.
func (forwarder *Forwarder) drawServers(questioned *exchange) (chosen map[string]int, none picked) {
	chosen = map[string]int{}
	allowed := forwarder.permitted(questioned)
	for range whereDraws {
		picked := forwarder.servers.look(questioned.service, allowed, questioned.route.Retryable())
		if picked.state == nil {
			none = picked
			continue
		}
		chosen[picked.state.server().ID]++
	}
	return chosen, none
}

// look returns what pick would for a request that was not sent before, and changes nothing.
func (servers *servers) look(service string, allowed func(server *cranberryward.BackendServer) bool, reuse bool) picked {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.weigh(service, nil, allowed, reuse, servers.terms(service, entries), peek)
}

// loadAges returns the ages of the last reports on the groups of a service, by name.
func (servers *servers) loadAges(service string) (loads []cranberryward.WhereLoad) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	for key, at := range servers.controllerReportAt {
		if key.service == service {
			loads = append(loads, cranberryward.WhereLoad{
				Group: key.name,
				AgeMS: time.Since(at).Milliseconds(),
			})
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Group < loads[j].Group })
	return loads
}
