// Package replayer replays a load trace through placement policies and measures their skew and cost.
package replayer
