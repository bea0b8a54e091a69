// Package server is the agent beside one backend server: the only door through which requests and orders reach it.
package server
