package distributor

import "github.com/cranberryward/cranberryward"

// PullRequest asks a parent for what is newer than the revisions that the child holds.
type PullRequest struct {
	From              string
	Zone              string
	Revision          uint64
	MembershipVersion uint64
	WaitMillis        int64
}

// PullReply carries what is newer, and how long ago the platform confirmed it.
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

// ConfirmRequest tells the parent which revision is in force on every process below and including the child, or with no processes that the child has another parent now.
type ConfirmRequest struct {
	From      string
	InForce   uint64
	Processes int
}

// ConfirmReply is empty.
type ConfirmReply struct{}

// InForceRequest asks a root which revision is in force in its zone, waiting for one up to a time.
type InForceRequest struct {
	Revision   uint64
	WaitMillis int64
}

// InForceReply tells the revision in force on the given number of the processes that the instance list names.
type InForceReply struct {
	Zone      string
	Revision  uint64
	Processes int
	Listed    int
}
