// Package rankserver stands in for a lock-step group of model runners and judges that no pass begins with two maps.
package rankserver
