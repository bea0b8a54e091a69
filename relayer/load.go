package relayer

import "github.com/cranberryward/cranberryward"

// AnnounceLoad sends the entries the load of a group.
func (relayer *Relayer) AnnounceLoad(load cranberryward.GroupLoad) {
	snapshot, _ := relayer.Snapshot()
	if snapshot == nil {
		return
	}
	notice := Notice{
		From:    relayer.options.Address,
		Content: snapshot.Content,
		Busy: &ServiceLoad{
			Service: load.Service,
			Group:   load.Group,
			Limit:   load.Limit,
		},
	}
	for _, id := range snapshot.serviceIDs(load.Service) {
		count, observed := load.Counts[id]
		if !observed {
			count = unknownCount
		}
		notice.Busy.Counts = append(notice.Busy.Counts, byte(min(count, unknownCount)))
	}
	relayer.spread(notice, true)
}

// loadByID returns the counts of a notice by backend server ID, or nil if the notice is about another set of backend servers than the current
// snapshot's.
func (relayer *Relayer) loadByID(notice Notice) map[string]int {
	snapshot, _ := relayer.Snapshot()
	if snapshot == nil || snapshot.Content != notice.Content {
		return nil
	}
	ids := snapshot.serviceIDs(notice.Busy.Service)
	if len(ids) != len(notice.Busy.Counts) {
		return nil
	}
	busy := make(map[string]int, len(ids))
	for i, id := range ids {
		if count := notice.Busy.Counts[i]; count != unknownCount {
			busy[id] = int(count)
		}
	}
	return busy
}
