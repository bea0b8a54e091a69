// Command rehearser plays one case of the review: it starts the project's own programs as processes, with the platform, backend servers and callers as stand-ins in
// its own process, and checks one rule.
package main
