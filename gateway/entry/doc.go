// Package entry runs on the instances that callers reach: it serves their requests and reports whether it is ready for more.
package entry
