package deployer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	agentserver "github.com/cranberryward/cranberryward/agent/server"
	"github.com/cranberryward/cranberryward/dialer"
	entryserver "github.com/cranberryward/cranberryward/entry/server"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/standin/engineserver"
	"github.com/cranberryward/cranberryward/standin/keyvalueserver"
	"github.com/cranberryward/cranberryward/standin/listserver"
	"github.com/cranberryward/cranberryward/standin/serviceserver"
	"github.com/cranberryward/cranberryward/standin/weightserver"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
)

const (
	weightBytesPerSecond = 64 << 20
	sharedKey            = "local-deployment"
	readyPollInterval    = 20 * time.Millisecond
	readyTimeout         = 20 * time.Second

	// OperatorToken is the administration token of a local deployment.
	OperatorToken = "local-operator"
	// Model is the model that a local deployment serves.
	Model = "assistant"
	// ServiceName is the name of the plain service of a local deployment.
	ServiceName = "booking"
)

// Options describe the deployment to start.
type Options struct {
	Zones          []string                              `json:"zones"`
	EntriesPerZone int                                   `json:"entries_per_zone"`
	RanksPerZone   int                                   `json:"ranks_per_zone"`
	PlanInterval   time.Duration                         `json:"plan_interval"`
	Logger         log.Logger                            `json:"-"`
	ChangeEntry    func(settings *entryserver.Settings)  `json:"-"`
	ChangeAgent    func(settings *agentserver.Settings)  `json:"-"`
	ChangeEngine   func(settings *engineserver.Settings) `json:"-"`
}

// DefaultOptions returns options for three zones with two entries and one group of four ranks each.
func DefaultOptions() Options {
	return Options{
		Zones:          []string{"zone-a", "zone-b", "zone-c"},
		EntriesPerZone: 2,
		RanksPerZone:   4,
		PlanInterval:   2 * time.Second,
		Logger:         log.NewNopLogger(),
	}
}

// Deployment is a deployment that runs in this process.
type Deployment struct {
	options             Options
	cancel              context.CancelFunc
	runContext          context.Context
	keyValue            *keyvalueserver.Server
	instanceList        *listserver.Server
	weightStore         *weightserver.Server
	keyValueAddress     string
	instanceListAddress string
	weightStoreAddress  string
	servers             []*listener.Server
	entries             []*entryserver.Server
	agents              []*agentserver.Server
	entrySettings       []entryserver.Settings
	agentSettings       []agentserver.Settings
	groups              []*engineserver.Group
	services            []*serviceserver.Server
	serviceAddresses    []string
}

// Start starts a deployment and waits until every entry is ready.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	runContext, cancel := context.WithCancel(context.Background())
	deployment := &Deployment{
		options:      options,
		cancel:       cancel,
		runContext:   runContext,
		keyValue:     keyvalueserver.New(),
		instanceList: listserver.New(),
		weightStore:  weightserver.New(weightBytesPerSecond),
	}
	if err := deployment.start(ctx); err != nil {
		deployment.Stop(ctx)
		return nil, err
	}
	return deployment, nil
}

func (deployment *Deployment) start(ctx context.Context) (err error) {
	if deployment.keyValueAddress, err = deployment.serve(deployment.keyValue.Handler()); err != nil {
		return err
	}
	if deployment.instanceListAddress, err = deployment.serve(deployment.instanceList.Handler()); err != nil {
		return err
	}
	if deployment.weightStoreAddress, err = deployment.serve(deployment.weightStore.Handler()); err != nil {
		return err
	}
	for _, zone := range deployment.options.Zones {
		if err := deployment.startZone(ctx, zone); err != nil {
			return err
		}
	}
	return deployment.AwaitReady(ctx)
}

func (deployment *Deployment) serve(handler http.Handler) (string, error) {
	server, err := listener.New("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	server.Start()
	deployment.servers = append(deployment.servers, server)
	return server.Address(), nil
}

func assignFreeAddresses(targets ...*string) error {
	for _, target := range targets {
		address, err := FreeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		*target = address
	}
	return nil
}

func (deployment *Deployment) startZone(ctx context.Context, zone string) error {
	for number := range deployment.options.EntriesPerZone {
		if err := deployment.addEntry(ctx, zone, number); err != nil {
			return err
		}
	}
	if err := deployment.startGroup(ctx, zone); err != nil {
		return err
	}
	return deployment.startService(ctx, zone)
}

func (deployment *Deployment) addEntry(ctx context.Context, zone string, number int) error {
	settings := entryserver.Defaults()
	settings.ID = fmt.Sprintf("%s-entry-%d", zone, number)
	settings.Zone = zone
	settings.KeyValue = deployment.keyValueAddress
	settings.InstanceList = deployment.instanceListAddress
	settings.SharedKey = sharedKey
	settings.PlanInterval = deployment.options.PlanInterval
	settings.Tokens = []entryserver.Token{entryserver.NewToken(entryserver.RoleOperator, OperatorToken)}
	settings.Services, _ = entryserver.ParseServices(ServiceName + "=GET:/")
	settings.StopGrace = 0
	if err := assignFreeAddresses(&settings.Listen, &settings.AdminListen, &settings.PeerListen); err != nil {
		return err
	}
	if deployment.options.ChangeEntry != nil {
		deployment.options.ChangeEntry(&settings)
	}
	deployment.entrySettings = append(deployment.entrySettings, settings)
	deployment.entries = append(deployment.entries, nil)
	return deployment.StartEntry(ctx, len(deployment.entries)-1)
}

// StartEntry starts an entry, or restarts a stopped one at the same addresses.
func (deployment *Deployment) StartEntry(ctx context.Context, number int) error {
	deployment.entries[number] = entryserver.New(deployment.entrySettings[number], deployment.options.Logger)
	return deployment.entries[number].Start(ctx)
}

func (deployment *Deployment) addAgent(ctx context.Context, change func(settings *agentserver.Settings)) error {
	settings := agentserver.Defaults()
	settings.KeyValue = deployment.keyValueAddress
	settings.InstanceList = deployment.instanceListAddress
	settings.SharedKey = sharedKey
	settings.StopGrace = 0
	change(&settings)
	if err := assignFreeAddresses(&settings.Listen, &settings.PeerListen); err != nil {
		return err
	}
	if deployment.options.ChangeAgent != nil {
		deployment.options.ChangeAgent(&settings)
	}
	deployment.agentSettings = append(deployment.agentSettings, settings)
	deployment.agents = append(deployment.agents, nil)
	return deployment.StartAgent(ctx, len(deployment.agents)-1)
}

// StartAgent starts an agent, or restarts a stopped one at the same addresses.
func (deployment *Deployment) StartAgent(ctx context.Context, number int) error {
	deployment.agents[number] = agentserver.New(deployment.agentSettings[number], deployment.options.Logger)
	return deployment.agents[number].Start(ctx)
}

func (deployment *Deployment) startGroup(ctx context.Context, zone string) error {
	settings := engineserver.DefaultSettings()
	settings.Name = zone + "-group"
	settings.Model = Model
	settings.Ranks = deployment.options.RanksPerZone
	if deployment.options.ChangeEngine != nil {
		deployment.options.ChangeEngine(&settings)
	}
	group := engineserver.NewGroup(settings, dialer.NewWeightStore(deployment.weightStoreAddress))
	deployment.groups = append(deployment.groups, group)
	go group.Run(deployment.runContext)
	for rank := range group.RankCount() {
		address, err := deployment.serve(group.Rank(rank).Handler())
		if err != nil {
			return err
		}
		err = deployment.addAgent(ctx, func(agent *agentserver.Settings) {
			agent.ID = fmt.Sprintf("%s-engine-%d", zone, rank)
			agent.Zone = zone
			agent.Role = "engine"
			agent.Backend = address
			agent.Group = settings.Name
			agent.Rank = rank
			agent.Model = Model
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (deployment *Deployment) startService(ctx context.Context, zone string) error {
	service := serviceserver.New(ServiceName)
	deployment.services = append(deployment.services, service)
	address, err := deployment.serve(service.Handler())
	if err != nil {
		return err
	}
	deployment.serviceAddresses = append(deployment.serviceAddresses, address)
	return deployment.addAgent(ctx, func(agent *agentserver.Settings) {
		agent.ID = zone + "-" + ServiceName
		agent.Zone = zone
		agent.Role = "service"
		agent.Backend = address
		agent.Service = ServiceName
	})
}

// AwaitReady waits until every entry has a confirmed configuration and knows all instances of its zone.
func (deployment *Deployment) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	instancesPerZone := deployment.options.EntriesPerZone + deployment.options.RanksPerZone + 1
	for _, entry := range deployment.entries {
		for !entry.Ready() || entry.InstanceCount() < instancesPerZone {
			select {
			case <-ctx.Done():
				return eris.Errorf("entry %s did not become ready: ready %v, %d of %d instances of its zone known",
					entry.Instance().ID, entry.Ready(), entry.InstanceCount(), instancesPerZone)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Stop stops every server of the deployment, the entries first.
func (deployment *Deployment) Stop(ctx context.Context) {
	for _, entry := range deployment.entries {
		if entry != nil {
			_ = entry.Stop(ctx)
		}
	}
	for _, agent := range deployment.agents {
		if agent != nil {
			_ = agent.Stop(ctx)
		}
	}
	deployment.cancel()
	for _, server := range deployment.servers {
		server.Kill()
	}
}

// Entry returns the entry with the given number.
func (deployment *Deployment) Entry(number int) *entryserver.Server {
	return deployment.entries[number]
}

// EntryCount returns the number of entries.
func (deployment *Deployment) EntryCount() int { return len(deployment.entries) }

// EntrySettings returns the settings of the entry with the given number.
func (deployment *Deployment) EntrySettings(number int) entryserver.Settings {
	return deployment.entrySettings[number]
}

// Agent returns the agent with the given number.
func (deployment *Deployment) Agent(number int) *agentserver.Server { return deployment.agents[number] }

// AgentCount returns the number of agents.
func (deployment *Deployment) AgentCount() int { return len(deployment.agents) }

// AgentSettings returns the settings of the agent with the given number.
func (deployment *Deployment) AgentSettings(number int) agentserver.Settings {
	return deployment.agentSettings[number]
}

// Group returns the engine group of the zone with the given number.
func (deployment *Deployment) Group(zone int) *engineserver.Group { return deployment.groups[zone] }

// GroupCount returns the number of engine groups.
func (deployment *Deployment) GroupCount() int { return len(deployment.groups) }

// ServiceAddress returns the address of the plain backend server of a zone.
func (deployment *Deployment) ServiceAddress(zone int) string {
	return deployment.serviceAddresses[zone]
}

// Service returns the backend server of the plain service in the zone with the given number.
func (deployment *Deployment) Service(zone int) *serviceserver.Server {
	return deployment.services[zone]
}

// ServiceCount returns the number of backend servers of the plain service.
func (deployment *Deployment) ServiceCount() int { return len(deployment.services) }

// KeyValue returns the key-value service.
func (deployment *Deployment) KeyValue() *keyvalueserver.Server { return deployment.keyValue }

// InstanceList returns the instance list.
func (deployment *Deployment) InstanceList() *listserver.Server { return deployment.instanceList }

// WeightStore returns the weight store.
func (deployment *Deployment) WeightStore() *weightserver.Server { return deployment.weightStore }
