// Package launcher starts the project's programs as processes on loopback and reads what they use.
package launcher
