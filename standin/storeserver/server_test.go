package storeserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestUnansweredCallEndsWithItsCaller guards against tests that never end because a call with a body, which gets no response, outlives its caller.
func TestUnansweredCallEndsWithItsCaller(t *testing.T) {
	server := New()
	server.SetFault(func(*http.Request) Fault { return FaultNoResponse })
	ended := make(chan struct{})
	front := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer close(ended)
		server.ServeHTTP(writer, request)
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, front.URL+"/v1/kv-lease", strings.NewReader(`{"TtlMs":1000}`))
	if err != nil {
		t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
		t.Fatalf("status %d, expected no response", response.StatusCode)
	}
	select {
	case <-ended:
		front.Close()
	case <-time.After(2 * time.Second):
		t.Error("the call goes on without its caller") // closing the server would wait for it
	}
}
