// Command measure replays seeded load traces through the placement and routing policies and prints one row for each policy.
package main
