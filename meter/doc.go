// Package meter records the metrics of a gateway process and serves them in the Prometheus text format.
package meter
