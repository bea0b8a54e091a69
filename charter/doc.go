// Package charter loads state charts and runs state machines on them.
package charter
