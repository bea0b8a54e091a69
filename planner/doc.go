// Package planner decides which experts each rank of a lock-step group holds and when a change is worth its cost; it uses no clock or network.
package planner
