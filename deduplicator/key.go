package deduplicator

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// ShardCount is the number of shards that the keys of a service are spread over.
const ShardCount = 64

const (
	uuidLength         = 36
	uuidVersionIndex   = 14
	uuidTimeBytes      = 6
	minPlausibleMillis = 631_152_000_000 // 1 January 1990
)

// ShardOf returns the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// KeyTime returns the creation time of a ULID or a UUID of version 7, and false for any other key.
func KeyTime(key string) (time.Time, bool) {
	if len(key) == ulid.EncodedSize {
		id, err := ulid.ParseStrict(strings.ToUpper(key))
		if err != nil {
			return time.Time{}, false
		}
		return plausibleTime(int64(id.Time()))
	}
	if len(key) != uuidLength || key[uuidVersionIndex] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) < uuidTimeBytes {
		return time.Time{}, false
	}
	var millis int64
	for _, octet := range raw[:uuidTimeBytes] {
		millis = millis<<8 | int64(octet)
	}
	return plausibleTime(millis)
}

func plausibleTime(millis int64) (time.Time, bool) {
	return time.UnixMilli(millis), millis >= minPlausibleMillis
}

// NewKey returns a key that contains the time of its creation.
func NewKey() string { return ulid.Make().String() }
