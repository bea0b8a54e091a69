// Package meter counts what a process of the gateway does and serves the counts as text.
package meter
