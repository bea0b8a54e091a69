package dialer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
)

// KeyValueStore is a client of the platform's key-value service.
type KeyValueStore struct {
	jsonClient jsonClient
}

var _ cranberryward.KeyValueStore = (*KeyValueStore)(nil)

// NewKeyValueStore returns a client for the service at the address.
func NewKeyValueStore(address string) *KeyValueStore {
	return &KeyValueStore{
		jsonClient: newJSONClient(address),
	}
}

func keyPath(key string) string { return "/v1/keys/" + url.PathEscape(key) }

// Get returns the record of a key; its revision is zero if the key does not exist.
func (keyValueStore *KeyValueStore) Get(ctx context.Context, key string) (cranberryward.Record, error) {
	var record cranberryward.Record
	err := keyValueStore.jsonClient.call(ctx, http.MethodGet, keyPath(key), nil, &record)
	return record, err
}

// Watch returns the record as soon as its revision is greater than the given one, or unchanged after the wait.
func (keyValueStore *KeyValueStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (cranberryward.Record, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var record cranberryward.Record
	err := keyValueStore.jsonClient.call(ctx, http.MethodGet, keyPath(key)+"?"+query.Encode(), nil, &record)
	return record, err
}

// CompareAndSwap writes the value if the key's revision equals the expected one; on a conflict it returns the current record and a failure.
func (keyValueStore *KeyValueStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease cranberryward.LeaseID) (cranberryward.Record, error) {
	write := cranberryward.WriteRequest{
		Value:    value,
		Expected: expected,
		Lease:    lease,
	}
	response, err := keyValueStore.jsonClient.send(ctx, http.MethodPut, keyPath(key), write)
	if err != nil {
		return cranberryward.Record{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if !IsSuccess(response) && response.StatusCode != http.StatusConflict {
		return cranberryward.Record{}, ReadFailure(response)
	}
	var record cranberryward.Record
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return record, TransportFailure(ctx, err)
	}
	if response.StatusCode == http.StatusConflict {
		return record, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "key "+key+" was written by another process")
	}
	return record, nil
}

// GrantLease returns a lease whose keys are removed if it is not kept alive for the given time.
func (keyValueStore *KeyValueStore) GrantLease(ctx context.Context, ttl time.Duration) (cranberryward.LeaseID, error) {
	var grant cranberryward.LeaseGrant
	err := keyValueStore.jsonClient.call(ctx, http.MethodPost, "/v1/leases", cranberryward.LeaseGrant{TTLMS: ttl.Milliseconds()}, &grant)
	return grant.Lease, err
}

// KeepAlive extends a lease by its time to live.
func (keyValueStore *KeyValueStore) KeepAlive(ctx context.Context, lease cranberryward.LeaseID) error {
	return keyValueStore.jsonClient.call(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(string(lease))+"/keepalive", nil, nil)
}

// RevokeLease ends a lease and removes its keys.
func (keyValueStore *KeyValueStore) RevokeLease(ctx context.Context, lease cranberryward.LeaseID) error {
	return keyValueStore.jsonClient.call(ctx, http.MethodDelete, "/v1/leases/"+url.PathEscape(string(lease)), nil, nil)
}
