package planner

// Weights are the weights that a user gives to skew and to the cost of rebalancing, and the parameters of the load estimate.
type Weights struct {
	SkewValue      float64 `json:"skew_value"`
	MovePrice      float64 `json:"move_price"`
	ChangePrice    float64 `json:"change_price"`
	HorizonSeconds float64 `json:"horizon_seconds"`
	Smoothing      float64 `json:"smoothing"`
	TrendDamping   float64 `json:"trend_damping"`
}

// ParlamigoWeights returns the weights of a user to whom low skew matters most.
func ParlamigoWeights() Weights {
	return Weights{
		SkewValue:      1,
		MovePrice:      0.4,
		ChangePrice:    0.5,
		HorizonSeconds: 1800,
		Smoothing:      0.4,
		TrendDamping:   0.5,
	}
}

// BrazosFlatsWeights returns the weights of a user to whom a low cost of rebalancing matters most.
func BrazosFlatsWeights() Weights {
	return Weights{
		SkewValue:      1,
		MovePrice:      12,
		ChangePrice:    40,
		HorizonSeconds: 3600,
		Smoothing:      0.3,
		TrendDamping:   0.5,
	}
}

// Move loads an expert's weights on a rank before a change of the map, or discards them after it.
type Move struct {
	Layer   int  `json:"layer"`
	Rank    int  `json:"rank"`
	Expert  int  `json:"expert"`
	Discard bool `json:"discard"`
}

// Report holds the loads of the experts of each layer that one rank has counted since its last report.
type Report struct {
	Rank     int         `json:"rank"`
	Sequence uint64      `json:"sequence"`
	Loads    [][]float32 `json:"loads"`
}

// LocalSearch improves the placement of one layer by copying a few experts; its fields limit the change.
type LocalSearch struct {
	// SlotsPerRank is how many experts of the layer a rank can hold.
	SlotsPerRank int
	// MaxCopiesPerRank is how many experts of the layer may be copied to a rank in one change.
	MaxCopiesPerRank int
	// MinimumGain is how much penalty each step must remove, as a share of the highest penalty of a rank. The penalty of a rank is the eighth
	// power of its relative load.
	MinimumGain float64
	// CopyBudgets are how many experts may be copied to each rank, in case other layers of the same change leave fewer than MaxCopiesPerRank;
	// an empty slice sets no such limit.
	CopyBudgets []int
	// Slowdowns are the factors by which each rank takes longer than usual for the same work; an empty slice stands for equal ranks.
	Slowdowns []float64
}
