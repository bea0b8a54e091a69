// Package logger makes the loggers that write one key=value line an event.
package logger
