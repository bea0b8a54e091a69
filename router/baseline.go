package router

// RoundRobin sends each request to the next server.
type RoundRobin struct{}

// LeastOutstanding sends each request to the server with the fewest requests that this entry has sent and that have not ended.
type LeastOutstanding struct{}

// TwoChoices sends each request to the less loaded of two pseudo-randomly picked servers (power of two choices).
type TwoChoices struct{}

// BoundedHash sends requests with the same leading blocks to the same server while its load is within a bound (hashing with bounded loads).
type BoundedHash struct{}

var (
	_ Policy = RoundRobin{}
	_ Policy = LeastOutstanding{}
	_ Policy = TwoChoices{}
	_ Policy = BoundedHash{}
)

const (
	// hashMultiplier is 2^64 divided by the golden ratio, for Fibonacci hashing.
	hashMultiplier = 0x9E3779B97F4A7C15
	// loadFactor is how many times the mean load a server may reach before BoundedHash skips it.
	loadFactor = 1.25
	hashShift  = 33
)

func usable(request Request, servers []Server, i int) bool {
	return servers[i].Available && request.excluded&(1<<i) == 0
}

func firstUsable(request Request, servers []Server, start int) Choice {
	for offset := range servers {
		i := (start + offset) % len(servers)
		if usable(request, servers, i) {
			return Choice{
				server: i,
			}
		}
	}
	return Choice{
		server: noServer,
	}
}

// Choose returns the next server.
func (roundRobin RoundRobin) Choose(request Request, servers []Server, _ *PrefixIndex) Choice {
	return firstUsable(request, servers, int(request.sequence%uint64(max(len(servers), 1))))
}

// Choose returns the server with the fewest outstanding requests.
func (leastOutstanding LeastOutstanding) Choose(request Request, servers []Server, _ *PrefixIndex) Choice {
	best := Choice{
		server: noServer,
	}
	for offset := range servers {
		i := (offset + int(request.sequence)) % len(servers)
		if usable(request, servers, i) && (best.server < 0 || servers[i].Outstanding < servers[best.server].Outstanding) {
			best.server = i
		}
	}
	return best
}

// Choose returns the less loaded of two servers by reported load.
func (twoChoices TwoChoices) Choose(request Request, servers []Server, _ *PrefixIndex) Choice {
	if len(servers) == 0 {
		return firstUsable(request, servers, 0)
	}
	mixed := (request.sequence + 1) * hashMultiplier
	a := firstUsable(request, servers, int((mixed>>hashShift)%uint64(len(servers))))
	mixed *= hashMultiplier
	b := firstUsable(request, servers, int((mixed>>hashShift)%uint64(len(servers))))
	if a.server < 0 {
		return b
	}
	if loadOf(&servers[b.server]) < loadOf(&servers[a.server]) {
		return b
	}
	return a
}

func loadOf(server *Server) int { return server.Running + server.Queued + server.SentRequests }

// Choose returns the first server, in cyclic order from the hashed index, whose load is within the bound.
func (boundedHash BoundedHash) Choose(request Request, servers []Server, _ *PrefixIndex) Choice {
	total, count := 0, 0
	for i := range servers {
		if usable(request, servers, i) {
			total += loadOf(&servers[i])
			count++
		}
	}
	if count == 0 {
		return Choice{
			server: noServer,
		}
	}
	bound := int(loadFactor*float64(total+1)/float64(count)) + 1
	key := request.sequence
	if len(request.blocks) > 0 {
		key = request.blocks[min(len(request.blocks), hashedBlocks)-1]
	}
	start := int(key * hashMultiplier >> hashShift % uint64(len(servers)))
	for offset := range servers {
		i := (start + offset) % len(servers)
		if usable(request, servers, i) && loadOf(&servers[i]) < bound {
			return Choice{
				server: i,
			}
		}
	}
	return firstUsable(request, servers, start)
}

// hashedBlocks is the number of leading prompt blocks that BoundedHash hashes.
const hashedBlocks = 4
