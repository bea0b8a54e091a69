package scriptserver

import (
	"net"
	"net/http"
)

// Exchange is a received request and the connection for its response.
type Exchange struct {
	Request *http.Request
	// Body is the body of the request, or nil if the script is called before it is read.
	Body []byte
	net.Conn
	// ConnectionNumber numbers the connections of the server, and Number the requests on this connection, both from 0.
	ConnectionNumber int
	Number           int
}
