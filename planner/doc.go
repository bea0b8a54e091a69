// Package planner decides which experts each rank of a lock-step group holds and when a change pays, without clock or network.
package planner
