package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/rankserver"
)

const (
	// The group is that of the small deployments.
	groupName    = "g0-0"
	ranks        = 16
	sets         = 4
	experts      = 64
	places       = 5
	spare        = 2
	expertMB     = 2500
	expertLink   = 180000
	copyTime     = 111 * time.Millisecond
	passTime     = 70 * time.Millisecond
	shiftTime    = 1500 * time.Millisecond
	picksPerPass = 400
	skew         = 1.1
	// leastMaps is how many maps have to come into force in a play in which the rule holds.
	leastMaps = 10
	// mapsTime bounds the play.
	mapsTime = 106 * time.Second
	// The ports of the ranks: the one that all know, and one that only the own machine uses, where reports are fresh.
	rankPort  = 8122
	localPort = 8123
	// agentMemoryMB and agentDescriptors are those of a side machine of the small deployments.
	agentMemoryMB    = 152
	agentDescriptors = 2048
	// zones is the number of availability zones; the first one, in which the controller is, has lossy links to the others.
	zones = 3
)

// zoneOf returns the availability zone of a rank.
func zoneOf(rank int) int { return rank * zones / ranks }

// playMaps changes the map of a group again and again, while the links of a zone to the others lose packets.
func playMaps(stage *stage) (broken bool, err error) {
	group := rankserver.NewGroup(rankserver.Settings{
		Name:    groupName,
		Ranks:   ranks,
		Sets:    sets,
		Experts: experts,
		Places:  places,
		Spare:   spare,
		Copy:    copyTime,
	})
	if err := stage.configureMaps(); err != nil {
		return false, err
	}
	network := newNetwork(stage)
	for index := range ranks {
		if err := stage.startRank(group, network, index); err != nil {
			return false, err
		}
	}
	if err := stage.startAgents(network); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go runPasses(ctx, group)
	if stage.trouble {
		go network.loseInSpells(ctx)
	}
	for until := time.Now().Add(mapsTime); time.Now().Before(until) && len(group.MixedPasses()) == 0; time.Sleep(20 * time.Millisecond) {
	}
	for _, pass := range group.MixedPasses()[:min(len(group.MixedPasses()), 1)] {
		stage.record("%s", pass)
	}
	stage.record("%d passes, %d maps in force, %d of %d parts on lossy links delayed", group.Step(), len(group.AppliedVersions()), network.delayed.Load(), network.parts.Load())
	stage.copyLogs("agent", "group_unsettled", "hold_ended", "term_ended", "term_begun")
	return checkPasses(group)
}

// checkPasses returns whether a pass began with two maps, and an error if so few maps came into force that it says little that none did.
func checkPasses(group *rankserver.Group) (broken bool, err error) {
	if len(group.MixedPasses()) > 0 {
		return true, nil
	}
	if maps := len(group.AppliedVersions()); maps < leastMaps {
		return false, fmt.Errorf("only %d maps came into force", maps)
	}
	return false, nil
}

// configureMaps writes the configuration.
func (stage *stage) configureMaps() error {
	return stage.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": "front.example", "Prefix": "/hint/", "Kind": "streaming", "Service": "llm", "TimeoutMs": 8000, "TargetLatencyMs": 400, "GapAimMs": 120, "MaxAttempts": 2, "Resumable": true,
		}},
		"Services": []any{map[string]any{"Name": "llm", "HealthPath": "/health", "ConnectionLimit": 188, "Engine": map[string]any{
			"Slots": 12, "KvCapacityTokens": 494000, "LinkMbps": expertLink, "Stride": 6, "step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800, "chunk": 512,
			"usual": map[string]any{"prompt": 835, "answer": 158}, "Sets": sets, "Experts": experts, "Places": places, "Spare": spare, "ExpertMb": expertMB, "ExpertShare": 0.85,
		}}},
		"Limits":  map[string]any{"MaxHeaderBytes": headLimit, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "quito", "ApiKeys": []string{"key-1"}}},
	})
}

// rankHost returns the address at which a rank, and the link to its machine, is reached. That of the first one is the machine itself, as its agent finds its own
// rank by it.
func rankHost(index int) string {
	if index == 0 {
		return agentHost(index)
	}
	return machineAddress(100 + index)
}

// agentHost returns the address of the machine of a rank. The agent of the first rank is the first candidate for the control of the group, so that it has it most of
// the time.
func agentHost(index int) string {
	if index > 0 {
		return machineAddress(1 + index)
	}
	best, highest := "", uint64(0)
	for machine := 1 + 2*ranks; machine < 100; machine++ {
		if host := machineAddress(machine); candidateWeight(host) > highest {
			best, highest = host, candidateWeight(host)
		}
	}
	return best
}

// candidateWeight orders the agents by which is the first to ask for the control of the group.
func candidateWeight(host string) uint64 {
	return cranberryward.RendezvousWeight("cranberryward/group/llm/"+groupName, net.JoinHostPort(host, strconv.Itoa(peerPort)))
}

// startRank serves a rank to its own machine and, with old reports, to others, and registers it.
func (stage *stage) startRank(group *rankserver.Group, network *network, index int) error {
	rank := group.Rank(index)
	if _, err := stage.serve(net.JoinHostPort(agentHost(index), strconv.Itoa(localPort)), rank); err != nil {
		return err
	}
	address, err := stage.serve(net.JoinHostPort(rankHost(index), strconv.Itoa(rankPort)), newLaggedRank(rank))
	if err != nil {
		return err
	}
	if index > 0 {
		if err := network.proxy(index); err != nil {
			return err
		}
	}
	return stage.put(fmt.Sprintf("servers/i-%02d", index), map[string]any{
		"Service": "llm",
		"Address": address,
		"Zone":    fmt.Sprintf("zone-%d", zoneOf(index)),
		"Version": 1,
		"Slots":   12,
		"State":   "ready",
	})
}

// startAgents starts the agent of the first rank, which becomes the controller, and then the others.
func (stage *stage) startAgents(network *network) error {
	for index := range ranks {
		agent, err := stage.start("agent", index+1, agentSettings(index))
		if err != nil {
			return err
		}
		network.addProcess(agent.command.Process.Pid, zoneOf(index))
		if index == 0 {
			if err := stage.awaitController(); err != nil {
				return err
			}
		}
	}
	return nil
}

// agentSettings returns the settings of the agent of a rank that differ from those of others.
func agentSettings(index int) map[string]any {
	return map[string]any{
		"address":     agentHost(index),
		"rank":        net.JoinHostPort(agentHost(index), strconv.Itoa(localPort)),
		"service":     "llm",
		"zone":        fmt.Sprintf("zone-%d", zoneOf(index)),
		"memory_mb":   agentMemoryMB,
		"descriptors": agentDescriptors,
		"link_mbps":   20,
	}
}

// awaitController waits until an agent holds the group's key.
func (stage *stage) awaitController() error {
	for until := time.Now().Add(readyTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, key := range stage.store.Keys() {
			if strings.HasPrefix(key, "cranberryward/group/") {
				stage.record("the agent of rank 0 controls the group")
				return nil
			}
		}
	}
	return fmt.Errorf("no agent controls the group")
}

// runPasses has the group begin passes, and its requests choose experts, some far more often than others; which ones these are shifts.
func runPasses(ctx context.Context, group *rankserver.Group) {
	popular, shiftedAt := rand.Perm(sets*experts), time.Now()
	zipf := rand.NewZipf(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), skew, 2, experts-1)
	for ctx.Err() == nil {
		if time.Since(shiftedAt) > shiftTime {
			popular, shiftedAt = rand.Perm(sets*experts), time.Now()
		}
		if group.BeginPass() {
			for range picksPerPass {
				set := rand.IntN(sets)
				group.RecordChoices(rand.IntN(ranks), set, popular[set*experts+int(zipf.Uint64())]%experts, 1)
			}
		}
		time.Sleep(passTime)
	}
}

// reportLag is the age of what a rank reports to other machines, and reportInterval how often that is renewed.
const (
	reportLag      = 200 * time.Millisecond
	reportInterval = 20 * time.Millisecond
)

// newLaggedRank returns a rank whose reports are as old as those that other machines get.
func newLaggedRank(rank *rankserver.Rank) http.Handler {
	reports := make(chan []byte, reportLag/reportInterval)
	current := make(chan []byte, 1)
	go func() {
		for {
			recorder := &reportRecorder{}
			rank.ServeHTTP(recorder, &http.Request{Method: http.MethodGet, URL: mustParse("/v1/report")})
			if len(reports) == cap(reports) {
				oldest := <-reports
				select {
				case <-current:
				default:
				}
				current <- oldest
			}
			reports <- recorder.text
			time.Sleep(reportInterval)
		}
	}()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/report" {
			rank.ServeHTTP(writer, request)
			return
		}
		report := <-current
		select {
		case current <- report:
		default: // a newer one has come
		}
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(report) // fails if the caller has left
	})
}

// reportRecorder keeps what a rank reports.
type reportRecorder struct{ text json.RawMessage }

// Header returns headers that are not kept.
func (*reportRecorder) Header() http.Header { return http.Header{} }

// Write keeps a part of the report.
func (reportRecorder *reportRecorder) Write(data []byte) (int, error) {
	reportRecorder.text = append(reportRecorder.text, data...)
	return len(data), nil
}

// WriteHeader does nothing.
func (*reportRecorder) WriteHeader(int) {}
