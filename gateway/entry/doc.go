// Package entry runs on the instances that callers reach: it answers their requests and says whether it is ready for more.
package entry
