// Package faulter cuts connections and loses answers on behalf of the stand-ins.
package faulter
