// Package server runs the agent of one backend server, through which all requests and orders reach it.
package server
