package engineserver

// Faults are the faults to inject into one rank.
type Faults struct {
	Stalled     bool   `json:"stalled"`
	Dead        bool   `json:"dead"`
	CrashMarker string `json:"crash_marker,omitempty"`
	// CrashAfterTokens is how many tokens of its response a request with the crash marker gets before it crashes the rank.
	CrashAfterTokens int     `json:"crash_after_tokens,omitempty"`
	RestartMS        int64   `json:"restart_ms"`
	IgnoreFencing    bool    `json:"ignore_fencing"`
	EventLagMS       int64   `json:"event_lag_ms"`
	EventLoss        float64 `json:"event_loss"`
	LoadLagMS        int64   `json:"load_lag_ms"`
	CutAfter         int     `json:"cut_after"`
	RefuseOrders     bool    `json:"refuse_orders"`
}

// Settings configure a group.
type Settings struct {
	Name         string
	Model        string
	Ranks        int
	Layers       int
	Experts      int
	Redundant    int
	StepMicros   int64
	MaxBatch     int
	MaxQueue     int
	CacheBlocks  int
	ResumeMS     int64
	PrefillBytes int
	Seed         uint64
}
