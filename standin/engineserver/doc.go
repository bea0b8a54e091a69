// Package engineserver stands in for a lock-step group of model engine ranks.
package engineserver
