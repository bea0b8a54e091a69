package forwarder

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cranberryward/cranberryward"
)

// table indexes the routes, workspace keys and services of one configuration.
type table struct {
	deployment *cranberryward.Deployment
	// routes holds the routes of each host, sorted by descending prefix length.
	routes     map[string][]prefixedRoute
	workspaces map[string]*cranberryward.Workspace
	services   map[string]*cranberryward.BackendService
	// priorities holds what backend servers are told for each standing.
	priorities map[int]int
}

// prefixedRoute is a route with its prefix in the form in which it is compared with paths.
type prefixedRoute struct {
	prefix string
	route  *cranberryward.Route
}

func newTable(deployment *cranberryward.Deployment) *table {
	table := &table{
		deployment: deployment,
		routes:     map[string][]prefixedRoute{},
		workspaces: map[string]*cranberryward.Workspace{},
		services:   map[string]*cranberryward.BackendService{},
	}
	for i := range deployment.Routes {
		route := &deployment.Routes[i]
		host := strings.ToLower(route.Host)
		table.routes[host] = append(table.routes[host], prefixedRoute{
			prefix: unescapeSegments(route.Prefix),
			route:  route,
		})
	}
	for _, routes := range table.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
	for i := range deployment.Workspaces {
		workspace := &deployment.Workspaces[i]
		for _, key := range workspace.Keys {
			table.workspaces[key] = workspace
		}
	}
	for i := range deployment.Services {
		service := &deployment.Services[i]
		table.services[service.Name] = service
	}
	table.priorities = priorities(deployment)
	return table
}

// priorities numbers the standings that requests may have, as backend servers know no order among the routes of a ranked workspace; it is nil if there
// are more than the priorities that they know.
func priorities(deployment *cranberryward.Deployment) map[int]int {
	found := map[int]bool{}
	workspaces := rankedApart(deployment.Workspaces)
	for _, route := range routesApart(deployment.Routes) {
		if route.Anonymous || len(workspaces) == 0 {
			found[standing(nil, route)] = true
		}
		for _, workspace := range workspaces {
			found[standing(workspace, route)] = true
		}
	}
	if len(found) > prioritySteps {
		return nil
	}
	numbered := map[int]int{}
	for number, standing := range slices.Sorted(maps.Keys(found)) {
		numbered[standing] = number
	}
	return numbered
}

// rankedApart returns one of the workspaces for each rank, as there may be thousands of workspaces and of routes.
func rankedApart(workspaces []cranberryward.Workspace) []*cranberryward.Workspace {
	type rank struct {
		ranked   bool
		priority int
	}
	found := map[rank]*cranberryward.Workspace{}
	for i := range workspaces {
		found[rank{workspaces[i].Ranked, workspaces[i].Priority}] = &workspaces[i]
	}
	return slices.Collect(maps.Values(found))
}

// routesApart returns one of the routes for each priority, of those with and without a key.
func routesApart(routes []cranberryward.Route) []*cranberryward.Route {
	type access struct {
		anonymous bool
		priority  int
	}
	found := map[access]*cranberryward.Route{}
	for i := range routes {
		found[access{routes[i].Anonymous, routes[i].Priority}] = &routes[i]
	}
	return slices.Collect(maps.Values(found))
}

// route returns the route of a host whose prefix is the longest that begins the path, as it was sent, or nil.
func (table *table) route(host, escapedPath string) *cranberryward.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path := unescapeSegments(escapedPath)
	for _, prefixed := range table.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, prefixed.prefix) {
			return prefixed.route
		}
	}
	return nil
}

// unescapeSegments returns a path with its escaped bytes decoded, but those that would be taken for the end of a segment or for an escape; backend servers get the
// path as it was sent, in which an escaped slash is part of a segment.
func unescapeSegments(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var unescaped strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			unescaped.WriteByte(path[i])
			continue
		}
		decoded := byte('%') // as it is, where a prefix has one that begins no escape
		if value, err := strconv.ParseUint(path[i+1:min(i+3, len(path))], 16, 8); err == nil && i+2 < len(path) {
			decoded = byte(value)
			i += 2
		}
		if decoded == '/' || decoded == '%' {
			fmt.Fprintf(&unescaped, "%%%02X", decoded)
		} else {
			unescaped.WriteByte(decoded)
		}
	}
	return unescaped.String()
}

// authorize returns the workspace of a key, if any, and whether a request with this key may use the route.
func (table *table) authorize(route *cranberryward.Route, key string) (*cranberryward.Workspace, bool) {
	workspace := table.workspaces[key]
	if workspace != nil || route.Anonymous || len(table.deployment.Workspaces) == 0 {
		return workspace, true
	}
	return nil, false
}

// drawService returns a random service of a route's traffic split, by weight.
func drawService(route *cranberryward.Route) string {
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	drawn := rand.Float64() * total
	for _, part := range route.Split {
		if drawn -= part.Weight; drawn < 0 {
			return part.Service
		}
	}
	if len(route.Split) == 0 {
		return ""
	}
	return route.Split[len(route.Split)-1].Service
}
