// Package dialer contains HTTP clients of the external systems, for the protocols in docs/INTERFACES.md.
package dialer
