// Package quarantiner limits how many backend servers a request, or a part that requests share, can take down.
package quarantiner
