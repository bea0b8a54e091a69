// Package relayer keeps a process's belief about configuration and backend servers current, from the store or from peers, whichever answers.
package relayer
