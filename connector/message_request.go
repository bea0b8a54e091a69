package connector

import "net/http"

// Request is one send to one backend server.
type Request struct {
	Address string
	// Fresh asks for a new connection, on which no send can cross the backend server's close.
	Fresh  bool
	Method string
	Head   []byte
	Body   []byte
	// Expected returns whether a response answers this request and not an earlier one.
	Expected func(response *http.Response) bool
}
