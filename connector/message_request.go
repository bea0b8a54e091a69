package connector

import (
	"net/http"
	"time"

	"github.com/cranberryward/cranberryward/reserver"
)

// Request is one send of a request to one backend server.
type Request struct {
	Address string
	// NewConnection asks for a new connection, which the backend server does not close as idle while the request is sent.
	NewConnection bool
	// DialTimeout bounds the time to connect; zero stands for the longest time that a connection may take.
	DialTimeout time.Duration
	// Proceed returns whether the request may still be sent once there is a connection for it; nil allows it.
	Proceed func() bool
	Method  string
	Head    []byte
	Body    []byte
	// Reservation accounts for the body of the response until its owner closes it; nil sets no limit.
	Reservation *reserver.Reservation
	// Matches returns whether a response is to this request rather than to an earlier one.
	Matches func(response *http.Response) bool
}
