package cranberryward

import (
	"context"
	"time"
)

// RequestKind says whether a request may run more than once.
type RequestKind int

// The zero value is NonIdempotent, so that a request of unknown kind is never retried after it may have run.
const (
	// NonIdempotent requests run at most once for each attempt of the client.
	NonIdempotent RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events and are retried only on routes whose streams can be resumed.
	Streaming
)

// ServiceShare is one service of a traffic split with its weight.
type ServiceShare struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           RequestKind
	Timeout        time.Duration
	Objective      time.Duration
	PauseObjective time.Duration
	Priority       int
	Split          []ServiceShare
	AttemptLimit   int
	Anonymous      bool
	Resumable      bool
	// Homes are the regions whose backend servers may run the requests; none means all.
	Homes []string
}

// Retryable returns whether a request that may have run may be sent again from the start.
func (route Route) Retryable() bool {
	return route.Kind == Idempotent || route.Kind == Streaming && route.Resumable
}

// EngineCostModel is the published cost model of a model engine group.
type EngineCostModel struct {
	Slots              int
	TokenCapacity      int
	StepMS             float64
	PerSequenceMS      float64
	ContextPerThousand float64
	ReadPerSecond      float64
	Chunk              int
	Stride             int
	UsualPrompt        float64
	UsualAnswer        float64
	Sets               int
	Experts            int
	Places             int
	Spare              int
	ExpertMB           float64
	ExpertShare        float64
	LinkMbps           float64
}

// CopyTime returns how long a rank takes to copy the weights of one expert.
func (engineCostModel EngineCostModel) CopyTime() time.Duration {
	if engineCostModel.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(engineCostModel.ExpertMB * 8 / engineCostModel.LinkMbps * float64(time.Second))
}

// BackendService is a service as configured by the operators, with a cost model if its instances form a model engine group.
type BackendService struct {
	Name            string
	HealthPath      string
	ConnectionLimit int
	Engine          *EngineCostModel
	// ColdTime is how long a backend server stays cold after it has started.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold backend server tolerates from all entries together, or zero for no limit.
	ColdRate float64
}

// Workspace is a customer with the API keys of its callers.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	// Ranked is whether the priority overrides that of the route.
	Ranked bool
	// Homes are the regions whose backend servers may run the requests; none means all.
	Homes []string
}

// RequestLimits bound the size of a caller's request and the time that the caller may take.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment is one version of the operators' configuration of routes, services and workspaces.
type Deployment struct {
	Version  uint64
	Revision uint64
	// Era is the era of the store in which the revision was given out.
	Era        uint64
	Routes     []Route
	Services   []BackendService
	Workspaces []Workspace
	Limits     RequestLimits
}

// Supersedes returns whether the configuration takes the place of another one, nil for none: in one era of the store by revision, between eras by version.
func (deployment *Deployment) Supersedes(other *Deployment) bool {
	// A store that returns from an older copy holds an earlier version until operators write the later one again, which stays in force meanwhile.
	switch {
	case deployment == nil:
		return false
	case other == nil:
		return true
	case deployment.Era == other.Era:
		return deployment.Revision > other.Revision
	case deployment.Version == other.Version:
		return deployment.Era > other.Era
	default:
		return deployment.Version > other.Version
	}
}

// Service returns the service with the given name.
func (deployment *Deployment) Service(name string) (BackendService, bool) {
	for _, service := range deployment.Services {
		if service.Name == name {
			return service, true
		}
	}
	return BackendService{}, false
}

// BackendServer is the registration of one instance of a service.
type BackendServer struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// Cold is how long the backend server stays cold from the time of the registration on.
	Cold     time.Duration
	Revision uint64
	// Born is the start time of its process in Unix milliseconds, which tells starts under one ID apart, or zero if it is not given.
	Born int64
}

// View is a snapshot of the operators' configuration and the registered backend servers at a revision of the store.
type View struct {
	At uint64
	// Era is the era of the store in which it held this.
	Era        uint64
	Deployment *Deployment
	Servers    map[string]BackendServer
	// Quarantines holds the quarantined prompt parts, by the key under which they are stored.
	Quarantines map[string]Quarantine
	// Evacuated holds the availability zones whose backend servers are to be sent nothing, each with the revision of the operators' request.
	Evacuated map[string]uint64
}

// Position returns the point in the store's history to which the view belongs.
func (view View) Position() Position {
	return Position{
		Era:      view.Era,
		Revision: view.At,
	}
}

// Position is a point in the history of the platform's store, which begins a new era when it returns from an older copy and then gives out again the revisions
// since that copy.
type Position struct{ Era, Revision uint64 }

// Before returns whether the position is earlier than another one.
func (position Position) Before(other Position) bool {
	if position.Era != other.Era {
		return position.Era < other.Era
	}
	return position.Revision < other.Revision
}

// ViewSource reads views from the store.
type ViewSource interface {
	// ReadView returns a view of everything that the store holds now.
	ReadView(ctx context.Context) (View, error)
	// UpdateView returns the view with all later changes applied. It returns ErrStoreUnavailable if the store did not serve the call; after
	// any other error, the view must be read again with ReadView.
	UpdateView(ctx context.Context, view View) (View, error)
}
