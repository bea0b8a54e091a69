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
	for i, id := range snapshot.serviceIDs(load.Service) {
		count, observed := load.Counts[id]
		count = min(max(count, 0), unknownCount-1)
		if !observed {
			count = unknownCount
		}
		notice.Busy.Counts = append(notice.Busy.Counts, byte(count))
		if load.Spared[id] {
			notice.Busy.Spared = append(notice.Busy.Spared, i)
		}
	}
	relayer.spread(notice, true)
}

// loadByID returns the counts of a notice and the ranks to be spared by backend server ID, or nil if the notice is about another set of backend servers than the current
// snapshot's.
func (relayer *Relayer) loadByID(notice Notice) (busy map[string]int, spared map[string]bool) {
	snapshot, _ := relayer.Snapshot()
	if snapshot == nil || snapshot.Content != notice.Content {
		return nil, nil
	}
	ids := snapshot.serviceIDs(notice.Busy.Service)
	if len(ids) != len(notice.Busy.Counts) {
		return nil, nil
	}
	busy, spared = make(map[string]int, len(ids)), map[string]bool{}
	for i, id := range ids {
		if count := notice.Busy.Counts[i]; count != unknownCount {
			busy[id] = int(count)
		}
	}
	for _, i := range notice.Busy.Spared {
		if i >= 0 && i < len(ids) {
			spared[ids[i]] = true
		}
	}
	return busy, spared
}
