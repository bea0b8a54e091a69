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
	// brokenInterval is how often it does while the group is broken, since callers wait for it to open.
	brokenInterval = 25 * time.Millisecond
)

// rankService serves the controller of the group.
type rankService struct {
	rank *platform.Rank
	// incarnation identifies this run of the agent: after a restart it has forgotten the terms that it saw.
	incarnation uint64

	mutex    sync.Mutex
	group    string
	size     int
	reported bool
	term     uint64
	// broken is whether the group was not open in the last report.
	broken bool
	// lastController is when a controller was heard last, and lastHeard when any process was that gives orders in a term.
	lastController time.Time
	lastHeard      time.Time

	holds *holds

	orderMutex sync.Mutex
	// lastMap is the last map that an order held, and lastMapVersion is its version.
	lastMap        [][][]int
	lastMapVersion uint64
	// counts are those of the rank and of the ranks that this agent answers for.
	counts countsForwarder
	// tree passes requests on to the agents of other ranks.
	tree *tree
	// onReport is called with each report of the rank.
	onReport   func(report cranberryward.RankReport)
	lastReport time.Time
}

func newRankService(address string, tree *tree, onReport func(report cranberryward.RankReport)) *rankService {
	return &rankService{
		onReport:       onReport,
		tree:           tree,
		rank:           platform.NewRank(address),
		incarnation:    rand.Uint64(),
		lastController: time.Now().Add(startTimeout - electionTimeout),
		lastHeard:      time.Now(),
		holds:          newHolds(),
	}
}

// Observe returns the state of the rank to the controller of the latest term.
func (rankService *rankService) Observe(request ObserveRequest, reply *ObserveReply) error {
	observation, err := rankService.observe(request.Question)
	if err != nil {
		return caller.EncodeError(err)
	}
	reply.Observation, reply.Life = observation, rankService.incarnation
	return nil
}

// observe queries the rank for the controller of the latest term; its counts are added to those that are to be passed on.
func (rankService *rankService) observe(query rebalancer.Query) (rebalancer.Observation, error) {
	rankService.learnGroup()
	if rankService.ownGroup(query.Group) {
		if err := rankService.acceptTerm(query.Term); err != nil {
			return rebalancer.Observation{}, err
		}
	} else {
		query.Counts, query.Placement, query.Hold = false, false, 0
	}
	observation, counts, err := observe(rankService.rank, query)
	if err != nil {
		return rebalancer.Observation{}, err
	}
	rankService.recordReport(observation.Report)
	if !rankService.holds.heard(query) {
		return rebalancer.Observation{}, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "the hold is being ended")
	}
	rankService.counts.add(counts, observation.Report.Born)
	observation.Fresh = true
	return observation, nil
}

// Order passes an order from the controller of the latest term to the rank.
func (rankService *rankService) Order(request OrderRequest, reply *OrderReply) error {
	outcome, err := rankService.order(request)
	reply.Answer = outcome
	return caller.EncodeError(err)
}

func (rankService *rankService) order(request OrderRequest) (cranberryward.OrderOutcome, error) {
	if request.Life != rankService.incarnation {
		return cranberryward.OrderUnknown, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonWrongIncarnation, "this agent has restarted")
	}
	rankService.orderMutex.Lock()
	defer rankService.orderMutex.Unlock()
	if !rankService.ownGroup(request.Group) {
		return cranberryward.OrderUnknown, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "the rank belongs to another group than "+request.Group)
	}
	if err := rankService.acceptTerm(request.Term); err != nil {
		return cranberryward.OrderUnknown, err
	}
	order, err := rankService.expandOrder(request)
	if err != nil {
		return cranberryward.OrderUnknown, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	outcome, err := rankService.rank.Order(ctx, order)
	if err != nil {
		outcome = cranberryward.OrderUnknown
	}
	rankService.holds.recordOrder(order, outcome)
	return outcome, nil
}

// expandOrder returns the order with its whole map, which is made from the last one if only the changes were sent.
func (rankService *rankService) expandOrder(request OrderRequest) (cranberryward.RankOrder, error) {
	order := request.Order
	if order.Kind != cranberryward.RankPrepare {
		return order, nil
	}
	if request.Base != 0 {
		if request.Base != wholeMap && request.Base != rankService.lastMapVersion {
			return order, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "the map that the order's changes apply to is not known to this agent")
		}
		changes, err := unpackChanges(request.Changes)
		if err != nil {
			return order, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "the changes of the map cannot be decoded").WithCause(err)
		}
		base := rankService.lastMap
		if request.Base == wholeMap {
			base = emptyMap(changes)
		}
		order.Map = applyChanges(base, changes)
	}
	rankService.lastMap, rankService.lastMapVersion = order.Map, order.Version
	return order, nil
}

// learnGroup queries the rank if its group is not known, as after a start of the agent.
func (rankService *rankService) learnGroup() {
	if _, known := rankService.lastGroup(); known {
		return
	}
	if observation, _, err := observe(rankService.rank, rebalancer.Query{}); err == nil {
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

// groupSize returns the number of ranks of the group that the rank last reported.
func (rankService *rankService) groupSize() int {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return rankService.size
}

// acceptTerm records a later term, and returns an error for an earlier one.
func (rankService *rankService) acceptTerm(term uint64) error {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	if term < rankService.term {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "a later term has begun")
	}
	if term > rankService.term {
		rankService.counts.reset()
	}
	rankService.term, rankService.lastHeard = term, time.Now()
	if rebalancer.IsControllerTerm(term) {
		rankService.lastController = rankService.lastHeard
	}
	return nil
}

// lastTerm returns the latest term that was accepted.
func (rankService *rankService) lastTerm() uint64 {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return rankService.term
}

func (rankService *rankService) recordReport(report cranberryward.RankReport) {
	rankService.mutex.Lock()
	rankService.lastReport = time.Now()
	if rankService.group != report.Group {
		rankService.term = 0 // the terms of another group do not compare with those of this one
		rankService.holds.forget()
	}
	rankService.group, rankService.size, rankService.reported, rankService.broken = report.Group, report.Size, true, !report.Open
	rankService.mutex.Unlock()
	rankService.holds.set(report.Held != 0)
	rankService.onReport(report)
}

// watch queries the rank while no controller does.
func (rankService *rankService) watch(ctx context.Context) {
	pause := time.Duration(0)
	for sleep(ctx, pause) == nil {
		if pause = rankService.untilQuery(); pause > 0 {
			continue
		}
		observation, _, err := observe(rankService.rank, rebalancer.Query{})
		if err != nil {
			pause = watchInterval
			continue
		}
		rankService.recordReport(observation.Report)
	}
}

// untilQuery returns after what time the rank is to be queried unless a controller does.
func (rankService *rankService) untilQuery() time.Duration {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	interval := watchInterval
	if rankService.broken {
		interval = brokenInterval
	}
	return interval - time.Since(rankService.lastReport)
}

// resetSilence has the effect of hearing a controller now.
func (rankService *rankService) resetSilence() {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	rankService.lastController = time.Now()
}

// silence returns how long no controller has been heard.
func (rankService *rankService) silence() time.Duration {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return time.Since(rankService.lastController)
}

// unheard returns how long neither a controller nor an agent that ends a hold has been heard.
func (rankService *rankService) unheard() time.Duration {
	rankService.mutex.Lock()
	defer rankService.mutex.Unlock()
	return time.Since(rankService.lastHeard)
}

// observe queries a rank for the data that a query names, and returns its counts since its start if they are of the reported epoch.
func observe(rank *platform.Rank, query rebalancer.Query) (observation rebalancer.Observation, counts []int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), localTimeout)
	defer cancel()
	if observation.Report, err = rank.Report(ctx); err != nil {
		return observation, nil, err
	}
	if query.Counts {
		all, epoch, err := rank.Counts(ctx)
		if err != nil {
			return observation, nil, err
		}
		if epoch == observation.Report.Epoch {
			counts = all
		}
	}
	if query.Placement {
		observation.PlacementVersion, observation.Placement, err = rank.Placement(ctx)
	}
	return observation, counts, err
}
