// Package logger creates loggers that write one key=value line per event.
package logger
