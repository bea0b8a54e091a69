// Package cranberryward holds the domain types of the load balancer and the interfaces through which its processes reach every outside system.
package cranberryward
