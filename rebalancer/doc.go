// Package rebalancer controls a lock-step group: it estimates the demand for experts and changes the expert map of all ranks at the same pass.
package rebalancer
