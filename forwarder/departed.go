package forwarder

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// departedTTL is how long a backend server that was leaving or gone is remembered, longer than the age of a copy from which the store returns.
	departedTTL = time.Minute
	// staleTime is how long after the store's return a registration from an older copy may stand although its backend server is gone: the store removes it after a few
	// missed heartbeats.
	staleTime = 5 * time.Second
	// maxDeparted bounds the backend servers that are remembered.
	maxDeparted = 1024
)

// departed remembers the backend servers that were leaving or gone, as an older copy of the store has them as ready; its zero value is ready to use.
type departed struct {
	servers map[string]departure
	// era is the current era of the store, which was first seen at a time and a revision: what was written later is no copy.
	era      uint64
	eraBegan time.Time
	firstAt  uint64
}

// departure is a backend server that was leaving or gone, with the time and the era in which that became known.
type departure struct {
	address string
	born    int64
	era     uint64
	at      time.Time
	// announced is whether the backend server had said in an answer that it will end.
	announced bool
}

// sameStart returns whether a registration may be of the process that departed.
func (departure departure) sameStart(server cranberryward.BackendServer) bool {
	return departure.address == server.Address && !differ(departure.born, server.Born)
}

// differ returns whether two start times are of two processes; one that is not known may be any.
func differ(born, other int64) bool { return born != 0 && other != 0 && born != other }

// beginView notes the era of a view.
func (departed *departed) beginView(view cranberryward.View, now time.Time) {
	if view.Era != departed.era {
		departed.era, departed.eraBegan, departed.firstAt = view.Era, now, view.At
	}
	for id, departure := range departed.servers {
		if now.Sub(departure.at) > departedTTL {
			delete(departed.servers, id)
		}
	}
}

// record notes that a backend server is leaving or gone; announced is whether it has said in an answer that it will end.
func (departed *departed) record(server cranberryward.BackendServer, announced bool, now time.Time) {
	if _, known := departed.servers[server.ID]; !known && len(departed.servers) >= maxDeparted {
		return
	}
	if departed.servers == nil {
		departed.servers = map[string]departure{}
	}
	departed.servers[server.ID] = departure{
		address:   server.Address,
		born:      server.Born,
		era:       departed.era,
		at:        now,
		announced: announced,
	}
}

// announce notes that a backend server has said in an answer that it will end.
func (departed *departed) announce(server cranberryward.BackendServer, now time.Time) {
	departed.record(server, true, now)
}

// known returns whether a registration may be of a process that was known before, and whether that had said in an answer that it will end.
func (departed *departed) known(server cranberryward.BackendServer) (known, announced bool) {
	departure, known := departed.servers[server.ID]
	if !known || !departure.sameStart(server) {
		return false, false
	}
	return true, departure.announced
}

// staleUntil returns until when the registration of a backend server that is ready may be one that only an older copy of the store has brought back, or the zero
// time if it is not.
func (departed *departed) staleUntil(server cranberryward.BackendServer) time.Time {
	departure, known := departed.servers[server.ID]
	if !known {
		return time.Time{}
	}
	if departure.announced && departure.sameStart(server) {
		return time.Time{} // its announcement goes on to bar it
	}
	if departure.era == departed.era || !departure.sameStart(server) || server.Revision > departed.firstAt {
		delete(departed.servers, server.ID)
		return time.Time{}
	}
	return departed.eraBegan.Add(staleTime)
}
