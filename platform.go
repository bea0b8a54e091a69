package cranberryward

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStoreUnavailable means that the platform's store did not serve a call: it refused the call, could not be reached, or truncated the
// response.
var ErrStoreUnavailable = eris.New("the key-value store is unavailable to this process")

// ErrQuarantineChanged means that another process has written the quarantine since this one read it.
var ErrQuarantineChanged = eris.New("the stored quarantine has changed")

// KeyValueStore is the platform's key-value service.
type KeyValueStore interface {
	// Get returns the record of a key; revision zero means that the key does not exist.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes the value if the key's revision equals the expected one; zero expects an absent key.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (Record, error)
	// Watch returns the record as soon as its revision is greater than the given one, or the unchanged record after the wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error)
	// GrantLease returns a lease whose keys are removed if it is not renewed within its time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its time to live.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// InstanceList is the platform's list of instances, which lags behind their actual state.
type InstanceList interface {
	// List returns the instances of a zone, or of all zones for the empty name, and only the version if it is still the known one.
	List(ctx context.Context, zone string, known uint64) (Membership, error)
	// ListService returns the instances of a plain service in all zones.
	ListService(ctx context.Context, service string) (Membership, error)
	// Register adds or replaces the row of an instance.
	Register(ctx context.Context, instance Instance) error
	// Deregister removes the row of an instance that has stopped.
	Deregister(ctx context.Context, id string) error
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Fetch reads the weights of experts and returns how many bytes they hold.
	Fetch(ctx context.Context, model string, layer int, experts []int) (int64, error)
}

// Engine is an agent's interface to one rank of a model engine group.
type Engine interface {
	// Generate starts a response and passes its frames to receive until the end frame.
	Generate(ctx context.Context, request GenerateRequest, receive func(Frame) error) error
	// Resume passes the frames of a running or finished response to receive, starting at a byte offset.
	Resume(ctx context.Context, requestID string, offset int, receive func(Frame) error) error
	// Cancel stops a request that is queued or running.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the latest load report, which lags behind the current load.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// RankState returns the current state of the rank.
	RankState(ctx context.Context) (RankState, error)
	// Map returns the expert map that the rank holds under a version.
	Map(ctx context.Context, version uint64) (ExpertMap, error)
	// Order sends an order to the rank.
	Order(ctx context.Context, order Order) error
	// ExportCache returns the KV cache of a request.
	ExportCache(ctx context.Context, requestID string) ([]byte, error)
	// ImportCache installs an exported KV cache.
	ImportCache(ctx context.Context, cache []byte) error
}

// Service is an agent's interface to one backend server of a plain service.
type Service interface {
	// Alive returns nil if the backend server passes its health check.
	Alive(ctx context.Context) error
	// Call sends the call at most once and returns the complete response.
	Call(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}
