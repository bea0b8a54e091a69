package cranberryward

// GenerateRequest asks a model engine for one streamed response.
type GenerateRequest struct {
	RequestID  string `json:"request_id"`
	Model      string `json:"model"`
	Version    string `json:"version,omitempty"`
	Workspace  string `json:"workspace"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// Frame is a piece of a streamed response at a byte offset; a frame with End set completes the response.
type Frame struct {
	RequestID string       `json:"id"`
	Offset    int          `json:"off"`
	Text      string       `json:"t,omitempty"`
	End       *FrameEnd    `json:"end,omitempty"`
	Error     *ErrorDetail `json:"error,omitempty"`
}

// FrameEnd completes a streamed response and gives its total length in bytes.
type FrameEnd struct {
	FinishReason     string `json:"finish_reason"`
	Length           int    `json:"length"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
}

// EngineLoad is a load report of one model engine, which lags behind its current load.
type EngineLoad struct {
	Running       int         `json:"running"`
	Queued        int         `json:"queued"`
	QueuedTokens  int         `json:"queued_tokens"`
	Step          uint64      `json:"step"`
	StepMicros    int64       `json:"step_micros"`
	MapVersion    uint64      `json:"map_version"`
	AgeMS         int64       `json:"age_ms"`
	Incarnation   string      `json:"incarnation"`
	ExpertLoads   [][]float32 `json:"expert_loads,omitempty"`
	CacheSequence uint64      `json:"cache_sequence"`
}

// CacheEvent reports prompt blocks that were stored in or removed from an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents is a page of cache events, or the complete cache content if events were lost (Resync).
type CacheEvents struct {
	Events   []CacheEvent `json:"events"`
	Resync   bool         `json:"resync"`
	Blocks   []uint64     `json:"blocks,omitempty"`
	Sequence uint64       `json:"sequence"`
}

// RankState is the current state of one rank of a lock-step group.
type RankState struct {
	Step        uint64   `json:"step"`
	Held        bool     `json:"held"`
	HeldStep    uint64   `json:"held_step"`
	MapVersion  uint64   `json:"map_version"`
	Prepared    []uint64 `json:"prepared"`
	Incarnation string   `json:"incarnation"`
	Fencing     uint64   `json:"fencing"`
	Versions    []string `json:"versions,omitempty"`
}

// HasPrepared returns whether the weights of the expert map version are loaded.
func (rankState RankState) HasPrepared(version uint64) bool {
	for _, prepared := range rankState.Prepared {
		if prepared == version {
			return true
		}
	}
	return false
}

// OrderKind is what an order asks of a model engine.
type OrderKind string

// The orders that a model engine accepts.
const (
	OrderPrepare   OrderKind = "prepare"
	OrderDiscard   OrderKind = "discard"
	OrderHold      OrderKind = "hold"
	OrderSwitch    OrderKind = "switch"
	OrderRelease   OrderKind = "release"
	OrderLoadModel OrderKind = "load_model"
	OrderRole      OrderKind = "role"
)

// Order asks a model engine to change its state, at a given step if the ranks must act in lock-step.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Group   string    `json:"group"`
	Fencing uint64    `json:"fencing"`
	Version uint64    `json:"version,omitempty"`
	Step    uint64    `json:"step,omitempty"`
	Map     ExpertMap `json:"map,omitzero"`
	Model   string    `json:"model,omitempty"`
	Name    string    `json:"name,omitempty"`
}

// ExpertMap assigns the experts of each layer to the ranks of a group.
type ExpertMap struct {
	Version uint64    `json:"version"`
	Ranks   int       `json:"ranks"`
	Layers  [][][]int `json:"layers"`
}

// IsZero returns whether the map has no layers.
func (expertMap ExpertMap) IsZero() bool { return len(expertMap.Layers) == 0 }

// StepRecord is one line of an engine's step log.
type StepRecord struct {
	Step       uint64 `json:"step"`
	Rank       int    `json:"rank"`
	MapVersion uint64 `json:"map_version"`
}

// ExecutionRecord is one line of a backend server's execution log.
type ExecutionRecord struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Version   string `json:"version,omitempty"`
	Text      string `json:"text"`
	Finished  bool   `json:"finished"`
	// Crashed is whether the request crashed the backend server as it began to run.
	Crashed bool `json:"crashed,omitempty"`
}

// GroupState is the state of a group that serves a service, as the agent of one of its ranks reports it.
type GroupState struct {
	Service string `json:"service"`
	// Name is the name of the group, of which a service may have several.
	Name  string `json:"name,omitempty"`
	Epoch uint64 `json:"epoch"`
	Open  bool   `json:"open"`
}

// GroupLoad is the load of the ranks of a group, as its controller observed it.
type GroupLoad struct {
	Service string
	Group   string
	// Counts holds the number of requests at each rank that answered, by the ID of its backend server.
	Counts map[string]int
	// Spared holds the ranks that are to run no requests, as they would hold up the group.
	Spared map[string]bool
	// Limit is the largest number of requests that each rank should have, or zero if it is unknown.
	Limit int
}
