// Package cranberryward defines the domain types of the load balancer and the interfaces to the external systems that its processes use.
package cranberryward
