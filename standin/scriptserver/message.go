package scriptserver

import (
	"net"
	"net/http"
)

// Exchange is one request as it came and the connection on which it is answered.
type Exchange struct {
	Request *http.Request
	Body    []byte
	net.Conn
	// ConnectionNumber counts the connections of the server from 0, and Number the requests on this one.
	ConnectionNumber int
	Number           int
}
