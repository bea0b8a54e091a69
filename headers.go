package cranberryward

// HTTP headers exchanged with callers and between processes, documented in docs/INTERFACES.md.
const (
	HeaderWorkspace      = "Cranberryward-Workspace"
	HeaderPriority       = "Cranberryward-Priority"
	HeaderDeadline       = "Cranberryward-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Cranberryward-Request-Id"
	HeaderRevision       = "Cranberryward-Revision"
	HeaderPeer           = "Cranberryward-Peer"
	HeaderLoad           = "Cranberryward-Load"
	HeaderVerdict        = "Cranberryward-Verdict"
	HeaderIncarnation    = "Cranberryward-Incarnation"
	HeaderLimit          = "Cranberryward-Limit"
	HeaderLeaving        = "Cranberryward-Leaving"
	HeaderFirstAnswer    = "Cranberryward-First-Answer"
)
