// Package replayer replays a load trace through placement policies and counts skew and cost.
package replayer
