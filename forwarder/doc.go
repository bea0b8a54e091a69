// Package forwarder forwards callers' requests to backend servers, retries them where that is safe, and returns to each its own complete response.
package forwarder
