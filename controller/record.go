package controller

import (
	"context"
	"encoding/json"

	"github.com/cranberryward/cranberryward"
	"github.com/rotisserie/eris"
)

const (
	groupKeyPrefix = "groups/"
	mapKeySuffix   = "/map"
	leaseKeySuffix = "/lease"

	statePreparing = "preparing"
	stateCommitted = "committed"
)

// Record is what the key-value service stores about a group's expert map.
type Record struct {
	Version uint64                  `json:"version"`
	State   string                  `json:"state"`
	Fencing uint64                  `json:"fencing"`
	Map     cranberryward.ExpertMap `json:"map"`
}

// Committed returns whether the map was committed, as opposed to being prepared.
func (record Record) Committed() bool { return record.State == stateCommitted }

// LeaseKey returns the key of a group's lease.
func LeaseKey(group string) string { return groupKeyPrefix + group + leaseKeySuffix }

func mapKey(group string) string { return groupKeyPrefix + group + mapKeySuffix }

// ReadRecord returns a group's record and its revision, which is zero if there is no record.
func ReadRecord(ctx context.Context, store cranberryward.KeyValueStore, group string) (record Record, revision uint64, err error) {
	stored, err := store.Get(ctx, mapKey(group))
	if err != nil || !stored.Exists() {
		return record, 0, err
	}
	return record, stored.Revision, eris.Wrap(json.Unmarshal(stored.Value, &record), "decode group record")
}

func writeRecord(ctx context.Context, store cranberryward.KeyValueStore, group string, record Record, revision uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, eris.Wrap(err, "encode group record")
	}
	stored, err := store.CompareAndSwap(ctx, mapKey(group), value, revision, "")
	return stored.Revision, err
}
