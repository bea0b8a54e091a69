package simulator

import (
	"container/list"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
)

const (
	serverCount           = 16
	slotsPerServer        = 32
	prefillBytesPerMilli  = 40.0
	stepMillis            = 22.0
	cacheBlocks           = 1500
	workspaceCount        = 10
	sessionCount          = 640
	workspaceZipfExponent = 1.1
	systemPromptBytes     = 3072
	turnBytes             = 320
	maxTurns              = 24
	meanOutputTokens      = 60
	reportMillis          = 1000.0
	reportLagMillis       = 300.0
	eventLagMillis        = 2000.0
	eventLoss             = 0.05
	deadlineMillis        = 4000.0
	queueCapacity         = 128
	warmupShare           = 0.2
	highPriority          = 9
	normalPriority        = 5
	percentile95          = 0.95
	percentile99          = 0.99
	millisPerSecond       = 1000.0
	minLimit              = 4
	maxLimit              = 64
	prefixIndexCapacity   = 1 << 16
)

// Row is the result of one policy.
type Row struct {
	Policy   string  `json:"policy"`
	HitShare float64 `json:"hit_share"`
	P50      float64 `json:"p50_ms"`
	P95      float64 `json:"p95_ms"`
	P99      float64 `json:"p99_ms"`
	Goodput  float64 `json:"goodput"`
	Fairness float64 `json:"fairness"`
	Offered  float64 `json:"offered"`
}

type request struct {
	at          float64
	workspace   int
	promptBytes int
	blocks      []uint64
	tokens      int
	queued      *limiter.QueuedRequest
}

type cacheEvent struct {
	at      float64
	stored  []uint64
	evicted []uint64
}

type engine struct {
	prefillFreeAt   float64
	endTimes        []float64
	queue           *limiter.FairQueue
	waiting         map[*limiter.QueuedRequest]*request
	concurrency     limiter.ConcurrencyLimit
	meanServiceTime float64
	lru             *list.List
	blocks          map[uint64]*list.Element
	events          []cacheEvent
	reports         []loadReport
}

type loadReport struct {
	at           float64
	running      int
	queued       int
	prefillBytes int
}

// workspacePriority returns the high priority for the first two workspaces and the normal one for the others.
func workspacePriority(workspace int) int {
	if workspace < 2 {
		return highPriority
	}
	return normalPriority
}

// generateTrace returns requests of sessions whose prompts grow with each turn, at a rate in requests per second.
func generateTrace(seed uint64, perSecond, seconds float64) []*request {
	random := rand.New(rand.NewPCG(seed, 0x707))
	var weights []float64
	total := 0.0
	for workspace := range workspaceCount {
		total += math.Pow(float64(workspace+1), -workspaceZipfExponent)
		weights = append(weights, total)
	}
	turns := make([]int, sessionCount)
	owner := make([]int, sessionCount)
	for session := range sessionCount {
		draw := random.Float64() * total
		owner[session] = sort.SearchFloat64s(weights, draw)
	}
	var trace []*request
	for at := 0.0; at < seconds*millisPerSecond; at += random.ExpFloat64() / perSecond * millisPerSecond {
		session := random.IntN(sessionCount)
		turns[session]++
		if turns[session] > maxTurns {
			turns[session] = 1
		}
		promptBytes := systemPromptBytes + turns[session]*turnBytes
		trace = append(trace, &request{
			at:          at,
			workspace:   owner[session],
			promptBytes: promptBytes,
			blocks:      promptBlocks(owner[session], session, promptBytes),
			tokens:      1 + int(random.ExpFloat64()*meanOutputTokens),
		})
	}
	return trace
}

// promptBlocks returns the block hashes of a prompt; those of the system prompt are equal within a workspace, the others within a session.
func promptBlocks(workspace, session, promptBytes int) []uint64 {
	var blocks []uint64
	for block := range promptBytes / cranberryward.PrefixBlockBytes {
		id := uint64(workspace)<<32 | uint64(block)
		if block*cranberryward.PrefixBlockBytes >= systemPromptBytes {
			id = 1<<60 | uint64(session)<<32 | uint64(block)
		}
		blocks = append(blocks, id*0x9E3779B97F4A7C15)
	}
	return blocks
}

func newEngine() *engine {
	return &engine{
		queue:       limiter.NewFairQueue(queueCapacity),
		waiting:     map[*limiter.QueuedRequest]*request{},
		concurrency: limiter.NewConcurrencyLimit(slotsPerServer, minLimit, maxLimit),
		lru:         list.New(),
		blocks:      map[uint64]*list.Element{},
	}
}

// countCached returns how many leading blocks are cached.
func (engine *engine) countCached(blocks []uint64) int {
	for i, block := range blocks {
		if engine.blocks[block] == nil {
			return i
		}
	}
	return len(blocks)
}

// storeBlocks caches the blocks and evicts the least recently used ones.
func (engine *engine) storeBlocks(blocks []uint64) (evicted []uint64) {
	for _, block := range blocks {
		if element := engine.blocks[block]; element != nil {
			engine.lru.MoveToFront(element)
			continue
		}
		engine.blocks[block] = engine.lru.PushFront(block)
	}
	for engine.lru.Len() > cacheBlocks {
		block := engine.lru.Remove(engine.lru.Back()).(uint64)
		delete(engine.blocks, block)
		evicted = append(evicted, block)
	}
	return evicted
}

// running returns how many requests are running.
func (engine *engine) running(now float64) int {
	kept := engine.endTimes[:0]
	for _, end := range engine.endTimes {
		if end > now {
			kept = append(kept, end)
		}
	}
	engine.endTimes = kept
	return len(kept)
}
