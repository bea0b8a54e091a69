// Package distributor distributes the configuration and membership of a zone from the platform to every process along a tree.
package distributor
