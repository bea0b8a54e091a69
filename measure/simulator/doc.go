// Package simulator replays a request trace through routing policies and admission using a simple cost model of the engines.
package simulator
