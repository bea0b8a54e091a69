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
	group     *Group
	index     int
	handler   http.Handler
	startedAt int64

	sequence          uint64
	version           uint64
	placement         [][]int
	highestVersion    uint64
	preparedVersion   uint64
	preparedAt        time.Time
	preparedPlacement [][]int
	armedVersion      uint64
	armedStep         uint64
	heldStep          uint64
	counts            []int64
	fault             func(order Order) Fault
}

func newRank(group *Group, index int) *Rank {
	rank := &Rank{
		group:     group,
		index:     index,
		startedAt: 1,
	}
	rank.reset()
	router := mux.NewRouter()
	router.HandleFunc("/v1/report", rank.handleReport).Methods(http.MethodGet)
	router.HandleFunc("/v1/picked", rank.handlePicked).Methods(http.MethodGet)
	router.HandleFunc("/v1/order", rank.handleOrder).Methods(http.MethodPost)
	rank.handler = router
	return rank
}

// reset returns the rank to map 0, which assigns the experts to the ranks round-robin, with nothing prepared, armed or held.
func (rank *Rank) reset() {
	settings := rank.group.settings
	rank.version, rank.preparedVersion, rank.armedVersion, rank.armedStep, rank.heldStep = 0, 0, 0, 0, 0
	rank.placement = make([][]int, settings.Sets)
	for set := range rank.placement {
		for expert := rank.index; expert < settings.Experts; expert += settings.Ranks {
			rank.placement[set] = append(rank.placement[set], expert)
		}
	}
	if rank.counts == nil {
		rank.counts = make([]int64, settings.Sets*settings.Experts)
	}
}

// SetFault sets the function that chooses the fault of each order; it is called with the group's mutex held.
func (rank *Rank) SetFault(fault func(order Order) Fault) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	rank.fault = fault
}

// ServeHTTP serves a query or an order.
func (rank *Rank) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	rank.handler.ServeHTTP(writer, request)
}

func (rank *Rank) handleReport(writer http.ResponseWriter, _ *http.Request) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	report := map[string]any{
		"Stage": "combined",
		"group": map[string]any{"Name": rank.group.settings.Name, "epoch": rank.group.epoch, "rank": rank.index, "State": map[bool]string{
			true:  "open",
			false: "broken",
		}[rank.group.open]},
		"size":     rank.group.settings.Ranks,
		"Sequence": rank.sequence,
		"step":     rank.group.step,
		"Map":      rank.version,
		"Prepared": nil,
		"Armed":    nil,
		"held":     nil,
		"born":     rank.startedAt,
		"pace":     1.0,
	}
	if rank.preparedVersion != 0 && !time.Now().Before(rank.preparedAt) {
		report["Prepared"] = rank.preparedVersion
	}
	if rank.armedVersion != 0 {
		report["Armed"] = map[string]uint64{"Version": rank.armedVersion, "step": rank.armedStep}
	}
	if rank.heldStep != 0 {
		report["held"] = rank.heldStep
	}
	writeJSON(writer, report)
}

func (rank *Rank) handlePicked(writer http.ResponseWriter, request *http.Request) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	if request.URL.Query().Has("Lists") {
		writeJSON(writer, map[string]any{"Map": map[string]any{"Version": rank.version, "Experts": rank.placement}})
		return
	}
	writeJSON(writer, map[string]any{"step": rank.group.step, "epoch": rank.group.epoch, "Counts": rank.counts})
}

func (rank *Rank) handleOrder(writer http.ResponseWriter, request *http.Request) {
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
			status := rank.executeOrder(order)
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
	status := rank.executeOrder(order)
	rank.group.mutex.Unlock()
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(status)
}

// executeOrder executes an order and returns the response status; the caller holds the group's mutex.
func (rank *Rank) executeOrder(order Order) int {
	group := rank.group
	if order.Epoch != 0 && order.Epoch != group.epoch || order.Precondition != nil && *order.Precondition != rank.sequence || !group.open {
		return http.StatusConflict
	}
	status := http.StatusConflict
	switch order.Operation {
	case "prepare":
		status = rank.prepare(order)
	case "arm":
		if order.Version != 0 && order.Version == rank.preparedVersion && !time.Now().Before(rank.preparedAt) && order.Step > group.step && rank.armedVersion == 0 {
			rank.armedVersion, rank.armedStep = order.Version, order.Step
			status = http.StatusAccepted
		}
	case "disarm":
		if order.Version == rank.armedVersion && rank.armedVersion != 0 {
			rank.armedVersion, rank.armedStep = 0, 0
			status = http.StatusAccepted
		}
	case "hold":
		if rank.heldStep == 0 && order.Step > group.step {
			rank.heldStep = order.Step
			status = http.StatusAccepted
		}
	case "go":
		if rank.heldStep == order.Step && rank.heldStep != 0 {
			rank.heldStep = 0
			status = http.StatusAccepted
		}
	default:
		return http.StatusBadRequest
	}
	if status == http.StatusAccepted && !group.settings.Uncounted {
		rank.sequence++
	}
	return status
}

func (rank *Rank) prepare(order Order) int {
	settings := rank.group.settings
	if order.Version <= max(rank.highestVersion, rank.version) || rank.armedVersion != 0 || len(order.Map) != settings.Sets {
		return http.StatusConflict
	}
	placement := make([][]int, settings.Sets)
	copies := 0
	for set := range order.Map {
		if len(order.Map[set]) != settings.Ranks {
			return http.StatusConflict
		}
		if slices.ContainsFunc(order.Map[set], func(experts []int) bool { return experts == nil }) {
			return http.StatusBadRequest // null is no list
		}
		placement[set] = slices.Clone(order.Map[set][rank.index])
		if len(placement[set]) > settings.Places {
			return http.StatusConflict
		}
		added := 0
		for _, expert := range placement[set] {
			if !slices.Contains(rank.placement[set], expert) {
				added++
			}
		}
		if added > settings.Spare {
			return http.StatusConflict
		}
		copies += added
	}
	rank.highestVersion, rank.preparedVersion = order.Version, order.Version
	rank.preparedPlacement = placement
	rank.preparedAt = time.Now().Add(time.Duration(copies) * settings.Copy)
	return http.StatusAccepted
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
