// Package messenger defines the messages that entries and agents exchange.
package messenger
