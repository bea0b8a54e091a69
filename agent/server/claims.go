package server

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberryward/cranberryward"
)

const (
	claimPrefix      = "claims/"
	claimTimeout     = 2 * time.Second
	claimLeaseFactor = 2
)

// claims records each key that contains no time in the key-value service, so that a later home of the key knows that it was used.
type claims struct {
	store       cranberryward.KeyValueStore
	service     string
	incarnation string
	retention   time.Duration
	mutex       sync.Mutex
	lease       cranberryward.LeaseID
	grantedAt   time.Time
}

// acquire returns nil if this incarnation of the home has the only claim on the key.
func (claims *claims) acquire(ctx context.Context, key, fingerprint string) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	lease, err := claims.currentLease(ctx)
	if err != nil {
		return claimUnavailable(err)
	}
	name := claimPrefix + claims.service + "/" + strconv.FormatUint(xxhash.Sum64String(key), 16) + "-" + strconv.Itoa(len(key))
	value := claims.incarnation + " " + fingerprint
	record, err := claims.store.CompareAndSwap(ctx, name, []byte(value), 0, lease)
	if err == nil {
		return nil
	}
	if cranberryward.FailureOf(err).Reason() != cranberryward.ReasonConflict {
		return claimUnavailable(err)
	}
	// This incarnation made the claim but has no entry for the key in its key store, so the request was never run: the reply to the claim was lost.
	if owner, _, _ := strings.Cut(string(record.Value), " "); owner == claims.incarnation {
		return nil
	}
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonKeyUnresolved,
		"an earlier home of the key may have run the request").WithResend(false)
}

// claimUnavailable returns the failure of a key that could not be claimed.
func claimUnavailable(cause error) error {
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonPlatformUnavailable,
		"the idempotency key contains no time, and claiming it in the key-value service failed").WithCause(cause).WithRetryAfter(time.Second)
}

// currentLease returns a lease that lasts at least for the retention time of a key that is claimed under it now.
func (claims *claims) currentLease(ctx context.Context) (cranberryward.LeaseID, error) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if claims.lease != "" && time.Since(claims.grantedAt) < claims.retention {
		return claims.lease, nil
	}
	started := time.Now()
	lease, err := claims.store.GrantLease(ctx, claimLeaseFactor*claims.retention)
	if err != nil {
		return "", err
	}
	claims.lease = lease
	claims.grantedAt = started
	return lease, nil
}
