package faulter

import "net/http"

// Cut closes the connection of a request without an answer.
func Cut(writer http.ResponseWriter) {
	if hijacker, ok := writer.(http.Hijacker); ok {
		if connection, _, err := hijacker.Hijack(); err == nil {
			_ = connection.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
