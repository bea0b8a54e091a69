package faulter

import "net/http"

// CloseConnection closes the connection of a request without a response.
func CloseConnection(writer http.ResponseWriter) {
	if hijacker, ok := writer.(http.Hijacker); ok {
		if connection, _, err := hijacker.Hijack(); err == nil {
			_ = connection.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
