// Package prover holds the integration tests, which run real processes and a fault-injecting proxy on loopback.
package prover
