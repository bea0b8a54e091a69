// Package settings reads what a process of the gateway is told at its start and on each reload.
package settings
