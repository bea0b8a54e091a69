// Package settings reads and checks the settings file of a gateway process, at its start and on each reload.
package settings
