// Package dialer reaches the outside systems over HTTP by the protocols of docs/INTERFACES.md.
package dialer
