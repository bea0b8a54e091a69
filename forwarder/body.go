package forwarder

import (
	"errors"
	"math"
	"net/http"

	"github.com/cranberryward/cranberryward/reserver"
)

// reserve sets the reservation of an exchange and returns the function that gives it back.
func (forwarder *Forwarder) reserve(exchange *exchange) (release func()) {
	exchange.reservation = forwarder.options.Memory.Reserve()
	return func() {
		exchange.reservation.Close()
		for _, reservation := range exchange.sendReservations {
			reservation.Close()
		}
	}
}

// hasBody returns whether a request announces a body.
func (exchange *exchange) hasBody() bool {
	return exchange.request.Body != nil && exchange.request.Body != http.NoBody
}

// bodyLimit returns the length of the longest body that is read, in bytes.
func (forwarder *Forwarder) bodyLimit() int64 {
	if limit := forwarder.table.Load().deployment.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return math.MaxInt64 - 1
}

// readBody reads the whole body of a request, so that it can be sent again, or refuses the request and returns false.
func (forwarder *Forwarder) readBody(writer http.ResponseWriter, exchange *exchange) bool {
	if !exchange.hasBody() {
		return true
	}
	body, err := forwarder.options.Memory.Receive(writer, exchange.request, exchange.reservation, forwarder.bodyLimit(), exchange.deadline)
	switch {
	case err == nil:
		exchange.body, exchange.bodyRead = body, true
		return true
	case errors.Is(err, reserver.ErrTooLong):
		forwarder.refuse(writer, exchange, http.StatusRequestEntityTooLarge, "body_too_long", 0)
	case errors.Is(err, reserver.ErrNoRoom):
		forwarder.refuse(writer, exchange, http.StatusServiceUnavailable, "no_memory", reserver.RetryAfter)
	case errors.Is(err, reserver.ErrTooSlow):
		forwarder.refuse(writer, exchange, http.StatusServiceUnavailable, "body_too_slow", reserver.RetryAfter)
	case errors.Is(err, reserver.ErrTooLate):
		forwarder.refuse(writer, exchange, http.StatusRequestTimeout, "body_too_late", reserver.RetryAfter)
	default:
		forwarder.requestLog.recordEnd(exchange, 0, "caller_left_while_sending")
		panic(http.ErrAbortHandler)
	}
	return false
}

// giveUpBody bounds what is still read of a body that was not read to its end, before a refusal; only behind a short one the connection is kept.
func (exchange *exchange) giveUpBody(writer http.ResponseWriter) {
	if !exchange.hasBody() || exchange.bodyRead {
		return
	}
	exchange.body = nil
	exchange.reservation.Close()
	reserver.Refused(writer, exchange.request)
}
