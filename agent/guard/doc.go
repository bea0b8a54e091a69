// Package guard checks every order before it is sent to the backend server.
package guard
