// Package soaker tests the system on the platform under faults: real processes on loopback, stand-ins for the platform, and callers that check the
// responses. It has tests only.
package soaker
