// Package agent runs beside one rank of a group: it is the rank's eyes and hands, and controls the group while it holds the group's lease.
package agent
