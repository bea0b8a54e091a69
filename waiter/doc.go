// Package waiter waits for a delay or until a context is done.
package waiter
