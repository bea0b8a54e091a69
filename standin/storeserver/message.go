package storeserver

// Item is a key with its value, or the removal of a key.
type Item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64 `json:",omitempty"`
	Deleted   bool   `json:",omitempty"`
}
