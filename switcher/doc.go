// Package switcher changes the expert map of a lock-step group so that every step runs on one map on all ranks.
package switcher
