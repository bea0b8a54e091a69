// Package relayer keeps a process's snapshot of the configuration and the backend servers up to date, from the store or from peers, whichever
// answers.
package relayer
