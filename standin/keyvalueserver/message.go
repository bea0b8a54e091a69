package keyvalueserver

// Faults are the faults to inject.
type Faults struct {
	Outage       bool    `json:"outage"`
	DelayMS      int64   `json:"delay_ms"`
	LoseAnswers  int     `json:"lose_answers"`
	WriteRate    float64 `json:"write_rate"`
	ReadRate     float64 `json:"read_rate"`
	SkipWatches  bool    `json:"skip_watches"`
	LosePrefix   string  `json:"lose_prefix,omitempty"`
	OutageWrites bool    `json:"outage_writes"`
}

// Counters count the calls since the start.
type Counters struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Refused uint64 `json:"refused"`
}
