// Package agent runs next to one rank of a group: it observes the rank, passes orders to it, and controls the group while it holds the group's lease.
package agent
