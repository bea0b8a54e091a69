// Package quarantiner bounds how many backend servers one crashing request can take down.
package quarantiner
