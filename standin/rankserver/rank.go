package rankserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
)

// Rank is one rank, served over HTTP.
type Rank struct {
	group   *Group
	index   int
	handler http.Handler
	born    int64

	orders            uint64
	version           uint64
	placement         [][]int
	highest           uint64
	prepared          uint64
	preparedAt        time.Time
	preparedPlacement [][]int
	armed             uint64
	armedStep         uint64
	held              uint64
	counts            []int64
	fault             func(order Order) Fault
}

func newRank(group *Group, index int) *Rank {
	rank := &Rank{
		group: group,
		index: index,
		born:  1,
	}
	rank.reset()
	router := mux.NewRouter()
	router.HandleFunc("/v1/report", rank.report).Methods(http.MethodGet)
	router.HandleFunc("/v1/picked", rank.picked).Methods(http.MethodGet)
	router.HandleFunc("/v1/order", rank.order).Methods(http.MethodPost)
	rank.handler = router
	return rank
}

// reset gives the rank map 0, which assigns experts in turn.
func (rank *Rank) reset() {
	shape := rank.group.shape
	rank.version, rank.prepared, rank.armed, rank.armedStep, rank.held = 0, 0, 0, 0, 0
	rank.placement = make([][]int, shape.Sets)
	for set := range rank.placement {
		for expert := rank.index; expert < shape.Experts; expert += shape.Ranks {
			rank.placement[set] = append(rank.placement[set], expert)
		}
	}
	if rank.counts == nil {
		rank.counts = make([]int64, shape.Sets*shape.Experts)
	}
}

// SetFault lets a function choose what happens to each order.
func (rank *Rank) SetFault(fault func(order Order) Fault) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	rank.fault = fault
}

// ServeHTTP answers a question or an order.
func (rank *Rank) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	rank.handler.ServeHTTP(writer, request)
}

func (rank *Rank) report(writer http.ResponseWriter, _ *http.Request) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	report := map[string]any{
		"Stage": "combined",
		"group": map[string]any{"Name": "g0", "epoch": rank.group.epoch, "rank": rank.index, "State": map[bool]string{
			true:  "open",
			false: "broken",
		}[rank.group.open]},
		"size":     rank.group.shape.Ranks,
		"Sequence": rank.orders,
		"step":     rank.group.step,
		"Map":      rank.version,
		"Prepared": nil,
		"Armed":    nil,
		"held":     nil,
		"born":     rank.born,
		"pace":     1.0,
	}
	if rank.prepared != 0 && !time.Now().Before(rank.preparedAt) {
		report["Prepared"] = rank.prepared
	}
	if rank.armed != 0 {
		report["Armed"] = map[string]uint64{"Version": rank.armed, "step": rank.armedStep}
	}
	if rank.held != 0 {
		report["held"] = rank.held
	}
	answer(writer, report)
}

func (rank *Rank) picked(writer http.ResponseWriter, request *http.Request) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	if request.URL.Query().Has("Lists") {
		answer(writer, map[string]any{"Map": map[string]any{"Version": rank.version, "Experts": rank.placement}})
		return
	}
	answer(writer, map[string]any{"step": rank.group.step, "epoch": rank.group.epoch, "Counts": rank.counts})
}

func (rank *Rank) order(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	rank.group.mutex.Lock()
	fault := Fault{}
	if rank.fault != nil {
		fault = rank.fault(order)
	}
	if fault.Late != nil {
		rank.group.mutex.Unlock()
		go func() {
			<-fault.Late
			rank.group.mutex.Lock()
			defer rank.group.mutex.Unlock()
			status := rank.carryOut(order)
			if fault.Outcome != nil {
				fault.Outcome <- status
			}
		}()
		panic(http.ErrAbortHandler)
	}
	if fault.Lose {
		rank.group.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	status := rank.carryOut(order)
	rank.group.mutex.Unlock()
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(status)
}

// carryOut does what an order asks under the group's lock and returns the status of its answer.
func (rank *Rank) carryOut(order Order) int {
	group := rank.group
	if order.Epoch != 0 && order.Epoch != group.epoch || order.Precondition != nil && *order.Precondition != rank.orders || !group.open {
		return http.StatusConflict
	}
	status := http.StatusConflict
	switch order.Operation {
	case "prepare":
		status = rank.prepare(order)
	case "arm":
		if order.Version != 0 && order.Version == rank.prepared && !time.Now().Before(rank.preparedAt) && order.Step > group.step && rank.armed == 0 {
			rank.armed, rank.armedStep = order.Version, order.Step
			status = http.StatusAccepted
		}
	case "disarm":
		if order.Version == rank.armed && rank.armed != 0 {
			rank.armed, rank.armedStep = 0, 0
			status = http.StatusAccepted
		}
	case "hold":
		if rank.held == 0 && order.Step > group.step {
			rank.held = order.Step
			status = http.StatusAccepted
		}
	case "go":
		if rank.held == order.Step && rank.held != 0 {
			rank.held = 0
			status = http.StatusAccepted
		}
	default:
		return http.StatusBadRequest
	}
	if status == http.StatusAccepted {
		rank.orders++
	}
	return status
}

func (rank *Rank) prepare(order Order) int {
	shape := rank.group.shape
	if order.Version <= max(rank.highest, rank.version) || rank.armed != 0 || len(order.Map) != shape.Sets {
		return http.StatusConflict
	}
	placement := make([][]int, shape.Sets)
	copies := 0
	for set := range order.Map {
		if len(order.Map[set]) != shape.Ranks {
			return http.StatusConflict
		}
		placement[set] = slices.Clone(order.Map[set][rank.index])
		if len(placement[set]) > shape.Places {
			return http.StatusConflict
		}
		added := 0
		for _, expert := range placement[set] {
			if !slices.Contains(rank.placement[set], expert) {
				added++
			}
		}
		if added > shape.Spare {
			return http.StatusConflict
		}
		copies += added
	}
	rank.highest, rank.prepared = order.Version, order.Version
	rank.preparedPlacement = placement
	rank.preparedAt = time.Now().Add(time.Duration(copies) * shape.Copy)
	return http.StatusAccepted
}

func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
