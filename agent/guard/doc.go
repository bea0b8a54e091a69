// Package guard checks every order before it reaches the backend server.
package guard
