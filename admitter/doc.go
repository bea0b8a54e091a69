// Package admitter estimates how many requests a lock-step group can run before the events of its streams are late, and decides which requests get
// these places and when the callers of the others may return.
package admitter
