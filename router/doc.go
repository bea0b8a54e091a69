// Package router chooses the backend server for each request from what an entry knows, without clock or network.
package router
