// Package charter interprets the state charts that the processes follow.
package charter
