package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/rebalancer"
)

const (
	// localTimeout bounds a query to the rank on the same instance, which answers in a few milliseconds.
	localTimeout = 250 * time.Millisecond
	// orderTimeout bounds an order to the rank on the same instance; one without a response is sent again with a new precondition.
	orderTimeout = 35 * time.Millisecond
	// startTimeout is how long a starting agent waits to hear a controller, which observes each rank many times in that time.
	startTimeout = 300 * time.Millisecond
	// watchInterval is how often the agent queries the rank while no controller does, which bounds how late callers learn of its state.
	watchInterval = 250 * time.Millisecond
)

// rankService serves the controller of the group.
type rankService struct {
	rank *platform.Rank
	// incarnation identifies this run of the agent: after a restart it has forgotten the terms that it saw.
	incarnation uint64

	mutex     sync.Mutex
	group     string
	reported  bool
	term      uint64
	lastHeard time.Time

	orderMutex sync.Mutex
	// lastMap is the last map that an order held, and lastMapVersion is its version.
	lastMap        [][][]int
	lastMapVersion uint64
	counts         sentCounts
	// onReport is called with each report of the rank.
	onReport   func(report cranberryward.RankReport)
	lastReport time.Time
}

func newRankService(address string, onReport func(report cranberryward.RankReport)) *rankService {
	return &rankService{
		onReport:    onReport,
		rank:        platform.NewRank(address),
		incarnation: rand.Uint64(),
		lastHeard:   time.Now().Add(startTimeout - electionTimeout),
	}
}

// Observe returns the state of the rank to the controller of the latest term.
func (rankService *rankService) Observe(request ObserveRequest, reply *ObserveReply) error {
	rankService.learnGroup()
	query := request.Question
	own := rankService.ownGroup(query.Group)
	if own {
		if err := rankService.acceptTerm(query.Term); err != nil {
			return caller.EncodeError(err)
		}
	} else {
		query.Counts, query.Placement = false, false
	}
	observation, err := observe(rankService.rank, query)
	if err != nil {
		return caller.EncodeError(err)
	}
	rankService.recordReport(observation.Report)
	observation.Fresh = true
	if len(observation.Counts) > 0 {
		rankService.counts.encode(reply, observation.Counts, observation.Report.Born, request.CountsAfter)
		observation.Counts = nil
	}
	reply.Observation, reply.Life = observation, rankService.incarnation
	return nil
}

// Order passes an order from the controller of the latest term to the rank.
func (rankService *rankService) Order(request OrderRequest, reply *OrderReply) error {
	if request.Life != rankService.incarnation {
		return caller.EncodeError(cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonWrongIncarnation, "this agent has restarted"))
	}
	rankService.orderMutex.Lock()
	defer rankService.orderMutex.Unlock()
	if !rankService.ownGroup(request.Group) {
		return caller.EncodeError(cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "the rank belongs to another group than "+request.Group))
	}
	if err := rankService.acceptTerm(request.Term); err != nil {
		return caller.EncodeError(err)
	}
	order, err := rankService.expandOrder(request)
	if err != nil {
		return caller.EncodeError(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	outcome, err := rankService.rank.Order(ctx, order)
	if err != nil {
		outcome = cranberryward.OrderUnknown
	}
	reply.Answer = outcome
	return nil
}

// expandOrder returns the order with its whole map, which is made from the last one if only the changes were sent.
func (rankService *rankService) expandOrder(request OrderRequest) (cranberryward.RankOrder, error) {
	order := request.Order
	if order.Kind != cranberryward.RankPrepare {
		return order, nil
	}
	if request.Base != 0 {
		if request.Base != rankService.lastMapVersion {
			return order, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "the map that the order's changes apply to is not known to this agent")
		}
		changes, err := unpackChanges(request.Changes)
		if err != nil {
			return order, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "the changes of the map cannot be decoded").WithCause(err)
		}
		order.Map = applyChanges(rankService.lastMap, changes)
	}
	rankService.lastMap, rankService.lastMapVersion = order.Map, order.Version
	return order, nil
}

// learnGroup queries the rank if its group is not known, as after a start of the agent.
func (rankService *rankService) learnGroup() {
	if _, known := rankService.lastGroup(); known {
		return
	}
	if observation, err := observe(rankService.rank, rebalancer.Query{}); err == nil {
		rankService.recordReport(observation.Report)
	}
}

// ownGroup returns whether a controller's group is the one that the rank last reported; each group has its own terms.
func (rankService *rankService) ownGroup(group string) bool {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return rankService.reported && rankService.group == group
}

// lastGroup returns the name of the rank's group, and false if the rank has not reported it yet.
func (rankService *rankService) lastGroup() (name string, known bool) {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return rankService.group, rankService.reported
}

// acceptTerm records a later term, and returns an error for an earlier one.
func (rankService *rankService) acceptTerm(term uint64) error {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	if term < rankService.term {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "a later term has begun")
	}
	rankService.term, rankService.lastHeard = term, time.Now()
	return nil
}

func (rankService *rankService) recordReport(report cranberryward.RankReport) {
	rankService.mutex.Lock()
	rankService.lastReport = time.Now()
	if rankService.group != report.Group {
		rankService.term = 0 // the terms of another group do not compare with those of this one
	}
	rankService.group, rankService.reported = report.Group, true
	rankService.mutex.Unlock()
	rankService.onReport(report)
}

// watch queries the rank while no controller does.
func (rankService *rankService) watch(ctx context.Context) {
	for sleep(ctx, watchInterval) == nil {
		rankService.mutex.Lock()
		idle := time.Since(rankService.lastReport) > watchInterval
		rankService.mutex.Unlock()
		if !idle {
			continue
		}
		if observation, err := observe(rankService.rank, rebalancer.Query{}); err == nil {
			rankService.recordReport(observation.Report)
		}
	}
}

// resetSilence has the effect of hearing a controller now.
func (rankService *rankService) resetSilence() {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	rankService.lastHeard = time.Now()
}

// silence returns how long no controller has been heard.
func (rankService *rankService) silence() time.Duration {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return time.Since(rankService.lastHeard)
}

// observe queries a rank for the data that a query names.
func observe(rank *platform.Rank, query rebalancer.Query) (rebalancer.Observation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), localTimeout)
	defer cancel()
	report, err := rank.Report(ctx)
	if err != nil {
		return rebalancer.Observation{}, err
	}
	observation := rebalancer.Observation{Report: report}
	if query.Counts {
		counts, epoch, err := rank.Counts(ctx)
		if err != nil {
			return rebalancer.Observation{}, err
		}
		if epoch == report.Epoch {
			observation.Counts = counts
		}
	}
	if query.Placement {
		observation.PlacementVersion, observation.Placement, err = rank.Placement(ctx)
		if err != nil {
			return rebalancer.Observation{}, err
		}
	}
	return observation, nil
}
