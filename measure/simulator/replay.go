package simulator

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
	"github.com/cranberryward/cranberryward/router"
)

// Policies returns the baseline policies and the project's own policy.
func Policies() map[string]router.Policy {
	return map[string]router.Policy{
		"round-robin":       router.RoundRobin{},
		"least-outstanding": router.LeastOutstanding{},
		"two-choices":       router.TwoChoices{},
		"bounded-hash":      router.BoundedHash{},
		"cranberryward":     router.LeastExpectedLatency{},
	}
}

type simulation struct {
	policy              router.Policy
	random              *rand.Rand
	engines             []*engine
	serverStates        []router.Server
	index               *router.PrefixIndex
	outstandingEndTimes [][]float64
	reportedAt          []float64
	measuredFrom        float64
	hitBytes            float64
	promptBytes         float64
	firstTokenTimes     []float64
	withinDeadline      int
	served              map[int]float64
	offered             map[int]float64
	withAdmission       bool
}

// Replay runs a policy over the request trace of a seed, with or without admission, and returns its row.
func Replay(name string, policy router.Policy, seed uint64, perSecond, seconds float64, withAdmission bool) Row {
	simulation := &simulation{
		policy:              policy,
		random:              rand.New(rand.NewPCG(seed, 0xcafe)),
		serverStates:        make([]router.Server, serverCount),
		index:               router.NewPrefixIndex(prefixIndexCapacity),
		outstandingEndTimes: make([][]float64, serverCount),
		reportedAt:          make([]float64, serverCount),
		measuredFrom:        warmupShare * seconds * millisPerSecond,
		served:              map[int]float64{},
		offered:             map[int]float64{},
		withAdmission:       withAdmission,
	}
	for range serverCount {
		simulation.engines = append(simulation.engines, newEngine())
	}
	for sequence, request := range generateTrace(seed, perSecond, seconds) {
		simulation.deliverReports(request.at)
		simulation.advance(request.at)
		simulation.route(request, uint64(sequence))
	}
	simulation.advance(seconds * millisPerSecond)
	return simulation.summarize(name, perSecond, seconds)
}

// deliverReports makes the reports that are due, and updates the router's view with the reports and cache events that have arrived by now.
func (simulation *simulation) deliverReports(now float64) {
	for i, engine := range simulation.engines {
		server := &simulation.serverStates[i]
		if now-simulation.reportedAt[i] >= reportMillis {
			simulation.reportedAt[i] = now
			engine.reports = append(engine.reports, loadReport{
				at:           now,
				running:      engine.running(now),
				queued:       engine.queue.Len(),
				prefillBytes: int(max(0, engine.prefillFreeAt-now) * prefillBytesPerMilli),
			})
		}
		for len(engine.reports) > 0 && engine.reports[0].at+reportLagMillis <= now {
			loadReport := engine.reports[0]
			engine.reports = engine.reports[1:]
			server.Running, server.Queued, server.PrefillBytes = loadReport.running, loadReport.queued, loadReport.prefillBytes
			server.SentRequests, server.SentBytes = 0, 0
			server.ReportAge = 0
		}
		for len(engine.events) > 0 && engine.events[0].at+eventLagMillis <= now {
			cacheEvent := engine.events[0]
			engine.events = engine.events[1:]
			if simulation.random.Float64() >= eventLoss {
				simulation.index.Store(i, cacheEvent.stored)
				simulation.index.Remove(i, cacheEvent.evicted)
			}
		}
		unfinished := simulation.outstandingEndTimes[i][:0]
		for _, end := range simulation.outstandingEndTimes[i] {
			if end > now {
				unfinished = append(unfinished, end)
			}
		}
		simulation.outstandingEndTimes[i] = unfinished
		server.Outstanding = len(unfinished) + engine.queue.Len()
		server.Available = true
		server.Share = 1
		server.Limit = slotsPerServer
		server.BytesPerMilli = prefillBytesPerMilli
		server.StepMicros = stepMillis * millisPerSecond
		server.ReportAge = time.Duration((now - simulation.reportedAt[i]) * float64(time.Millisecond))
	}
}

func (simulation *simulation) route(request *request, sequence uint64) {
	if request.at >= simulation.measuredFrom {
		simulation.offered[request.workspace]++
	}
	routingRequest := router.NewRequest(request.blocks, request.promptBytes, workspacePriority(request.workspace), time.Second).WithSequence(sequence)
	choice := simulation.policy.Choose(routingRequest, simulation.serverStates, simulation.index)
	i := choice.Server()
	simulation.serverStates[i].SentRequests++
	simulation.serverStates[i].SentBytes += request.promptBytes - choice.HitBytes()
	simulation.index.Store(i, request.blocks)
	engine := simulation.engines[i]
	if simulation.withAdmission && !engine.admits(request) {
		return
	}
	request.queued = engine.queue.Push(workspaceName(request.workspace), limiter.PriorityWeight(workspacePriority(request.workspace)))
	engine.waiting[request.queued] = request
	simulation.startQueued(i, request.at)
}

func workspaceName(workspace int) string { return string(rune('a' + workspace)) }

// admits returns whether a request is expected to start before its deadline; others are refused before they are queued.
func (engine *engine) admits(request *request) bool {
	expected := engine.meanServiceTime * float64(engine.queue.Len()) / float64(slotsPerServer)
	return expected+max(0, engine.prefillFreeAt-request.at) < deadlineMillis
}

// advance starts queued requests as slots become free until now.
func (simulation *simulation) advance(now float64) {
	for i, engine := range simulation.engines {
		for engine.queue.Len() > 0 && len(engine.endTimes) > 0 {
			sort.Float64s(engine.endTimes)
			next := engine.endTimes[0]
			if next > now {
				break
			}
			engine.endTimes = engine.endTimes[1:]
			simulation.startQueued(i, next)
		}
	}
}

func (simulation *simulation) startQueued(i int, now float64) {
	engine := simulation.engines[i]
	for engine.queue.Len() > 0 && engine.running(now) < slotsPerServer {
		queuedRequest := engine.queue.Pop()
		request := engine.waiting[queuedRequest]
		delete(engine.waiting, queuedRequest)
		if simulation.withAdmission && now-request.at > deadlineMillis {
			continue
		}
		simulation.serve(i, request, now)
	}
}

func (simulation *simulation) serve(i int, request *request, now float64) {
	engine := simulation.engines[i]
	hitBytes := engine.countCached(request.blocks) * cranberryward.PrefixBlockBytes
	evicted := engine.storeBlocks(request.blocks)
	engine.events = append(engine.events, cacheEvent{
		at:      now,
		stored:  request.blocks,
		evicted: evicted,
	})
	engine.prefillFreeAt = max(engine.prefillFreeAt, now) + float64(request.promptBytes-hitBytes)/prefillBytesPerMilli
	firstTokenAt := engine.prefillFreeAt + stepMillis
	end := firstTokenAt + float64(request.tokens)*stepMillis
	engine.endTimes = append(engine.endTimes, end)
	engine.meanServiceTime += 0.1 * (end - now - engine.meanServiceTime)
	simulation.outstandingEndTimes[i] = append(simulation.outstandingEndTimes[i], end)
	if request.at < simulation.measuredFrom {
		return
	}
	simulation.hitBytes += float64(hitBytes)
	simulation.promptBytes += float64(request.promptBytes)
	simulation.firstTokenTimes = append(simulation.firstTokenTimes, firstTokenAt-request.at)
	if firstTokenAt-request.at <= deadlineMillis {
		simulation.withinDeadline++
		simulation.served[request.workspace]++
	}
}

func (simulation *simulation) summarize(name string, perSecond, seconds float64) Row {
	sort.Float64s(simulation.firstTokenTimes)
	quantile := func(share float64) float64 {
		if len(simulation.firstTokenTimes) == 0 {
			return 0
		}
		return simulation.firstTokenTimes[int(share*float64(len(simulation.firstTokenTimes)-1))]
	}
	return Row{
		Policy:   name,
		HitShare: simulation.hitBytes / max(simulation.promptBytes, 1),
		P50:      quantile(0.5),
		P95:      quantile(percentile95),
		P99:      quantile(percentile99),
		Goodput:  float64(simulation.withinDeadline) / (seconds * (1 - warmupShare)),
		Fairness: simulation.fairness(),
		Offered:  perSecond,
	}
}

// fairness returns Jain's fairness index of the workspaces' ratios of requests served before the deadline to requests due. The requests due to a
// workspace are those that it offered, but at most its weighted fair share of all requests served before the deadline.
func (simulation *simulation) fairness() float64 {
	var total, weights float64
	for workspace := range workspaceCount {
		total += simulation.served[workspace]
		weights += limiter.PriorityWeight(workspacePriority(workspace))
	}
	var sum, squares, count float64
	for workspace := range workspaceCount {
		due := min(simulation.offered[workspace], total*limiter.PriorityWeight(workspacePriority(workspace))/weights)
		if due == 0 {
			continue
		}
		ratio := min(simulation.served[workspace]/due, 1)
		sum += ratio
		squares += ratio * ratio
		count++
	}
	return sum * sum / max(count*squares, 1e-9)
}
