package settings

// Settings are the settings of one process; times are in the unit that their name ends with.
type Settings struct {
	Instance  string   `json:"instance"`
	Zone      string   `json:"zone"`
	Address   string   `json:"address"`
	FirstPort int      `json:"first_port"`
	Seeds     []string `json:"seeds"`
	Callers   string   `json:"callers"`
	Ready     string   `json:"ready"`
	Control   string   `json:"control"`
	Rank      string   `json:"rank"`
	Metrics   string   `json:"metrics"`
	Service   string   `json:"service"`
	MemoryMB  int64    `json:"memory_mb"`
	// Descriptors is the number of descriptors that the process may have open; zero sets no limit.
	Descriptors         int     `json:"descriptors"`
	LinkMbps            float64 `json:"link_mbps"`
	Store               string  `json:"store"`
	StoreMinimumLeaseMS int64   `json:"store_minimum_lease_ms"`
	DrainMS             int64   `json:"drain_ms"`
	GraceSeconds        float64 `json:"grace_s"`
	RetryRatio          float64 `json:"retry_ratio"`
	RetryWindowSeconds  float64 `json:"retry_window_s"`
	RetrySlack          float64 `json:"retry_slack"`
	// SecondSendShare is the share of requests that may be sent to a second backend server while the first answer is late; zero allows none.
	SecondSendShare float64 `json:"second_send_share"`
	// Regions maps each availability zone to its region.
	Regions map[string]string `json:"regions"`
	// ColdOvershoot and ColdSlack bound the requests to a cold backend server in any second to its rate times the overshoot plus the slack; zero overshoot means one.
	ColdOvershoot float64 `json:"cold_overshoot"`
	ColdSlack     float64 `json:"cold_slack"`
	// EvacuationMS is how long after the operators' request an availability zone may still be sent requests.
	EvacuationMS int64 `json:"evacuation_ms"`
}
