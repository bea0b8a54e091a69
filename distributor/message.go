package distributor

import "github.com/cranberryward/cranberryward"

// PullRequest asks a parent for a configuration and membership newer than those of the child.
type PullRequest struct {
	From              string
	Zone              string
	Revision          uint64
	MembershipVersion uint64
	WaitMillis        int64
}

// PullReply contains what is newer than the child's versions, and how long ago the platform confirmed the parent's configuration.
type PullReply struct {
	Entries       []cranberryward.ConfigurationEntry
	Snapshot      *cranberryward.Configuration
	Membership    *cranberryward.Membership
	Revision      uint64
	Confirmed     bool
	AgeMillis     int64
	WaitedMillis  int64
	ParentInForce uint64
}

// ConfirmRequest tells a parent the revision in force on the child and every process below it; zero processes mean that the child has changed to another
// parent.
type ConfirmRequest struct {
	From      string
	InForce   uint64
	Processes int
}

// ConfirmReply is the empty reply to a confirmation.
type ConfirmReply struct{}

// InForceRequest asks a root for the revision in force on it and below, waiting up to WaitMillis for the given revision.
type InForceRequest struct {
	Revision   uint64
	WaitMillis int64
}

// InForceReply is the revision in force on the given number of processes, with the number of processes in the zone that the instance list names.
type InForceReply struct {
	Zone      string
	Revision  uint64
	Processes int
	Listed    int
}
