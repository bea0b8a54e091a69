// Package acceptor bounds the connections of callers and what they hold: heads, connections without a request, and answers that are not taken.
package acceptor
