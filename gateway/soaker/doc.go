// Package soaker soaks the system on the platform in faults: real processes on loopback before stand-ins of the platform, with callers that
// judge what they get. It has tests only.
package soaker
