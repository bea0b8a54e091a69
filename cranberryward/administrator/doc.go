// Package administrator talks to the administration interface of an entry.
package administrator
