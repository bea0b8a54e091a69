package forwarder

import (
	"net/http"
	"testing"

	"github.com/cranberryward/cranberryward"
)

// TestRouteOfEncodedPaths guards against a path whose encoded slash counts as the end of a segment: it would get the route below its own, whose kind may allow that the request
// is repeated, while its backend server gets the path as it was sent (review/8).
func TestRouteOfEncodedPaths(t *testing.T) {
	table := newTable(&cranberryward.Deployment{Routes: []cranberryward.Route{
		{
			Name:   "book",
			Host:   "front.example",
			Prefix: "/book/",
		},
		{
			Name:   "find",
			Host:   "front.example",
			Prefix: "/book/find/",
		},
		{
			Name:   "encoded",
			Host:   "front.example",
			Prefix: "/book/a%2fb/",
		},
		{
			Name:   "percent",
			Host:   "front.example",
			Prefix: "/book/100%/",
		},
		{
			Name:   "accent",
			Host:   "front.example",
			Prefix: "/café/",
		},
	}})
	for path, expected := range map[string]string{
		"/book/find/1":         "find",
		"/book/find%2F1":       "book",
		"/book/find%2f1/2":     "book",
		"/book%2Ffind/1":       "",
		"/book/f%69nd/1":       "find",
		"/book/find%252F1":     "book",
		"/book/a%2Fb/1":        "encoded",
		"/book/a%252Fb/1":      "book",
		"/book/a/b/1":          "book",
		"/book/100%25/1":       "percent",
		"/caf%C3%A9/1":         "accent",
		"/book/find/1?a=%2F":   "find",
		"/b%6Fok/find%2F1/%41": "book",
	} {
		request, err := http.NewRequest(http.MethodGet, "http://front.example"+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		name := ""
		if route := table.route(request.Host, request.URL.EscapedPath()); route != nil {
			name = route.Name
		}
		if name != expected {
			t.Errorf("%s has the route %q, expected %q", path, name, expected)
		}
	}
}
