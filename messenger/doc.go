// Package messenger holds the messages that entries and agents exchange.
package messenger
