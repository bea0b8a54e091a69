// Package homekeeper keeps the table of key homes of one plain service and this instance's authority within it.
package homekeeper
