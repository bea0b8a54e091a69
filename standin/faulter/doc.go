// Package faulter injects network faults: it closes, freezes and delays connections and drops their data.
package faulter
