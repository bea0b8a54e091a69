// Package waiter waits for time to pass or for a context to end.
package waiter
