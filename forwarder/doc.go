// Package forwarder takes callers' requests to backend servers and brings back each one's own whole answer.
package forwarder
