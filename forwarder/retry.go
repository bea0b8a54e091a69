package forwarder

// denyRetry returns why a request may not be sent again, or takes a retry from the budget and returns an empty reason.
func (forwarder *Forwarder) denyRetry(exchange *exchange) (reason string) {
	if !forwarder.requests.Empty() && !forwarder.requests.MayRetry(exchange.wholeRequest()) {
		return "crash_suspect"
	}
	if !forwarder.budget.takeRetry(exchange.service) {
		return "retry_budget"
	}
	return ""
}
