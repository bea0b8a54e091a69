// Package deduplicator runs each non-idempotent request at most once, at the instance that is the home of its idempotency key.
package deduplicator
