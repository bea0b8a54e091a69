package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward/standin/rankserver"
)

const (
	// lateAfter is how late an order is carried out that gets no answer: the pages say 2 to 12 s.
	lateAfter = 2100 * time.Millisecond
	// restartTime is how long after its kill the controller's process starts again, and lateTrouble how long orders to disarm its rank get no answer.
	restartTime = time.Second
	lateTrouble = 4 * time.Second
	// mapsBefore is how many maps have come into force before the first trouble.
	mapsBefore = 5
	// cycleTime is the time between two troubles.
	cycleTime = 14 * time.Second
)

// lateGroup is a group of ranks that leave some orders unanswered and carry them out late.
type lateGroup struct {
	stage  *stage
	group  *rankserver.Group
	agents []*process

	mutex sync.Mutex
	// armed is whether the next order to release the group begins the trouble.
	armed bool
	// silent is the rank beside the controller while orders to disarm it get no answer, or negative.
	silent int
	// orders counts the orders since the trouble began, and unanswered those without an answer.
	orders, unanswered int
}

// playLate kills a controller whose order to release the group is carried out late.
func playLate(stage *stage) (broken bool, err error) {
	late := &lateGroup{
		stage: stage,
		group: rankserver.NewGroup(rankserver.Settings{
			Name:      groupName,
			Ranks:     ranks,
			Sets:      sets,
			Experts:   experts,
			Places:    places,
			Spare:     spare,
			Copy:      copyTime,
			Uncounted: true, // as the ranks of the users' bench
		}),
		silent: -1,
	}
	if err := stage.configureMaps(); err != nil {
		return false, err
	}
	for index := range ranks {
		if err := late.start(index); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go runPasses(ctx, late.group)
	next := time.Now().Add(cycleTime)
	for until := time.Now().Add(mapsTime - cycleTime); time.Now().Before(until) && len(late.group.MixedPasses()) == 0; time.Sleep(20 * time.Millisecond) {
		if stage.trouble && time.Now().After(next) && len(late.group.AppliedVersions()) >= mapsBefore {
			next = time.Now().Add(cycleTime)
			late.mutex.Lock()
			late.armed = true
			late.mutex.Unlock()
		}
	}
	for _, pass := range late.group.MixedPasses()[:min(len(late.group.MixedPasses()), 1)] {
		stage.record("%s", pass)
	}
	late.mutex.Lock()
	stage.record("%d passes, %d maps in force; %d of %d orders since the last trouble began got no answer", late.group.Step(), len(late.group.AppliedVersions()), late.unanswered, late.orders)
	late.mutex.Unlock()
	stage.copyLogs("agent", "group_unsettled", "hold_ended", "hold_not_ended", "term_ended", "term_begun")
	return checkPasses(late.group)
}

// start starts a rank, to which all orders pass, and the agent beside it.
func (late *lateGroup) start(index int) error {
	rank := late.group.Rank(index)
	host := agentHost(index)
	if _, err := late.stage.serve(net.JoinHostPort(host, strconv.Itoa(localPort)), late.intercept(index, rank, rank)); err != nil {
		return err
	}
	address, err := late.stage.serve(net.JoinHostPort(host, strconv.Itoa(rankPort)), late.intercept(index, rank, newLaggedRank(rank)))
	if err != nil {
		return err
	}
	err = late.stage.put(fmt.Sprintf("servers/i-%02d", index), map[string]any{
		"Service": "llm",
		"Address": address,
		"Zone":    fmt.Sprintf("zone-%d", zoneOf(index)),
		"Version": 1,
		"Slots":   12,
		"State":   "ready",
	})
	if err != nil {
		return err
	}
	agent, err := late.stage.start("agent", index+1, agentSettings(index))
	late.agents = append(late.agents, agent)
	return err
}

// intercept returns a handler that passes on queries and orders, but for the orders that get no answer.
func (late *lateGroup) intercept(index int, rank *rankserver.Rank, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/order" {
			handler.ServeHTTP(writer, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		var order rankserver.Order
		if json.Unmarshal(body, &order) == nil && late.isLate(index, order) {
			time.AfterFunc(lateAfter, func() { late.carryOut(index, rank, order, body) })
			<-request.Context().Done()
			panic(http.ErrAbortHandler) // no answer
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		rank.ServeHTTP(writer, request)
	})
}

// isLate returns whether an order gets no answer: that which releases the group as the trouble begins, and those to disarm the rank beside the killed controller.
func (late *lateGroup) isLate(index int, order rankserver.Order) bool {
	late.mutex.Lock()
	defer late.mutex.Unlock()
	late.orders++
	if late.armed && order.Operation == "go" {
		if controller := late.controller(); controller >= 0 && controller != index {
			late.armed, late.silent, late.orders, late.unanswered = false, controller, 1, 1
			late.kill(index, order)
			return true
		}
	}
	if late.silent == index && order.Operation == "disarm" {
		late.unanswered++
		return true
	}
	return false
}

// kill kills the controller, which starts again a little later; the caller holds the mutex.
func (late *lateGroup) kill(index int, order rankserver.Order) {
	controller := late.silent
	late.stage.record("the order to release rank %d before pass %d gets no answer and is carried out %s later; the controller beside rank %d is killed", index, order.Step, lateAfter, controller)
	_ = late.agents[controller].command.Process.Kill() // fails if it has ended, which the record shows
	time.AfterFunc(restartTime, func() {
		agent, err := late.stage.start("agent", controller+1, agentSettings(controller))
		if err != nil {
			late.stage.record("the controller does not start again: %v", err)
			return
		}
		late.mutex.Lock()
		defer late.mutex.Unlock()
		late.agents[controller] = agent
	})
	time.AfterFunc(lateTrouble, func() {
		late.mutex.Lock()
		defer late.mutex.Unlock()
		late.silent = -1
	})
}

// carryOut carries out an order that got no answer.
func (late *lateGroup) carryOut(index int, rank *rankserver.Rank, order rankserver.Order, body []byte) {
	recorder := &statusRecorder{status: http.StatusOK}
	rank.ServeHTTP(recorder, &http.Request{
		Method: http.MethodPost,
		URL:    mustParse("/v1/order"),
		Body:   io.NopCloser(bytes.NewReader(body)),
	})
	late.stage.record("rank %d carries out the late order %s, version %d, pass %d: %d", index, order.Operation, order.Version, order.Step, recorder.status)
}

// controller returns the rank beside the process that holds the group's key, or a negative number.
func (late *lateGroup) controller() int {
	response, err := http.Get("http://" + late.stage.storeAddress + "/v1/kv-key?" + url.Values{"Key": {"cranberryward/group/llm/" + groupName}}.Encode())
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	var item struct{ Value []byte }
	if json.NewDecoder(response.Body).Decode(&item) != nil {
		return -1
	}
	for index := range late.agents {
		if net.JoinHostPort(agentHost(index), strconv.Itoa(peerPort)) == string(item.Value) {
			return index
		}
	}
	return -1
}

// statusRecorder keeps the status of an answer.
type statusRecorder struct {
	reportRecorder
	status int
}

// WriteHeader keeps the status.
func (statusRecorder *statusRecorder) WriteHeader(status int) { statusRecorder.status = status }
