// Package router chooses the backend server for each request from an entry's local state; it uses neither the clock nor the network.
package router
