package deduplicator

// Home is the instance that admits and stores the keys of one shard.
type Home struct {
	Instance    string `json:"instance"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Incarnation string `json:"incarnation"`
	SinceMillis int64  `json:"since_ms"`
	WaitMillis  int64  `json:"wait_ms"`
}

// Table holds the home of each shard of a service's keys; its epoch increases with each change.
type Table struct {
	Service string           `json:"service"`
	Epoch   uint64           `json:"epoch"`
	Homes   [ShardCount]Home `json:"homes"`
}

// KeyRecord is one key that a home hands over to the next one, with its response.
type KeyRecord struct {
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	Resolved    bool   `json:"resolved"`
	Answer      []byte `json:"answer,omitempty"`
	AtMillis    int64  `json:"at_ms"`
}
