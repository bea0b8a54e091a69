package relayer

import (
	"maps"

	"github.com/cranberryward/cranberryward"
)

// maxChanges is how many changes of the registrations a process retains; a peer that missed more was disconnected for long and fetches all
// registrations.
const maxChanges = 64

// change is the difference between the registrations of two consecutive snapshots.
type change struct {
	from, to uint64
	changed  map[string]cranberryward.BackendServer
	removed  map[string]bool
}

// changes are the most recent changes of a process's snapshot, oldest first; the zero value is ready to use.
type changes []change

// record appends the difference between two consecutive snapshots.
func (changes *changes) record(before, now *Snapshot) {
	latest := change{
		from:    before.Content,
		to:      now.Content,
		changed: map[string]cranberryward.BackendServer{},
		removed: map[string]bool{},
	}
	for id, server := range now.Servers {
		if earlier, known := before.Servers[id]; !known || !sameRegistration(earlier, server) {
			latest.changed[id] = server
		}
	}
	for id := range before.Servers {
		if _, known := now.Servers[id]; !known {
			latest.removed[id] = true
		}
	}
	*changes = append(*changes, latest)
	if len(*changes) > maxChanges {
		*changes = append((*changes)[:0:0], (*changes)[len(*changes)-maxChanges:]...)
	}
}

// sameRegistration returns whether two registrations differ by heartbeats at most, which the digest of a snapshot ignores too.
func sameRegistration(one, other cranberryward.BackendServer) bool {
	if one.Cold > 0 == (other.Cold > 0) {
		one.Cold = other.Cold
	}
	one.Revision = other.Revision
	return one == other
}

// since returns the registrations changed and removed after the snapshot with the given content, and false if the changes do not reach back that far.
func (changes changes) since(content uint64) (changed map[string]cranberryward.BackendServer, removed map[string]bool, known bool) {
	changed, removed = map[string]cranberryward.BackendServer{}, map[string]bool{}
	for _, change := range changes {
		known = known || change.from == content
		if !known {
			continue
		}
		for id, server := range change.changed {
			changed[id] = server
			delete(removed, id)
		}
		for id := range change.removed {
			removed[id] = true
			delete(changed, id)
		}
	}
	return changed, removed, known
}

// reconstruct returns the whole snapshot of a reply, with the omitted parts taken from the requester's current one, or nil if one is missing or the
// digest does not match.
func (fetchReply FetchReply) reconstruct(current *Snapshot) *Snapshot {
	if fetchReply.Belief == nil || current == nil && (fetchReply.SameDeployment || fetchReply.ChangesOnly) {
		return nil
	}
	snapshot := *fetchReply.Belief
	if fetchReply.SameDeployment {
		snapshot.Deployment = current.Deployment
	}
	if fetchReply.ChangesOnly {
		snapshot.Servers = map[string]cranberryward.BackendServer{}
		maps.Copy(snapshot.Servers, current.Servers)
		maps.Copy(snapshot.Servers, fetchReply.Changed)
		for id := range fetchReply.Removed {
			delete(snapshot.Servers, id)
		}
	}
	if digest(snapshot.View) != snapshot.Content {
		return nil
	}
	return &snapshot
}
