// Package deduplicator lets each non-idempotent request run at most once, at the home of its key.
package deduplicator
