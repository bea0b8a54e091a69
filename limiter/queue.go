package limiter

// Ticket is a request that waits in a fair queue.
type Ticket struct {
	workspace string
	tag       float64
	dropped   bool
	granted   chan bool
}

// Granted returns the channel that receives true when the request may go on and false when it is refused.
func (ticket *Ticket) Granted() <-chan bool { return ticket.granted }

type flow struct {
	weight  float64
	finish  float64
	tickets []*Ticket
}

// FairQueue orders waiting requests so that each workspace gets a share by its weight.
type FairQueue struct {
	capacity int
	length   int
	clock    float64
	flows    map[string]*flow
}

// NewFairQueue returns an empty queue that holds at most the given number of requests.
func NewFairQueue(capacity int) *FairQueue {
	return &FairQueue{
		capacity: capacity,
		flows:    map[string]*flow{},
	}
}

// WeightOf returns the share weight of a priority from 0 to 9.
func WeightOf(priority int) float64 {
	return float64((priority + 1) * (priority + 1))
}

// Len returns how many requests wait.
func (fairQueue *FairQueue) Len() int { return fairQueue.length }

// Push adds a request, refusing the newest one of the workspace that is furthest over its share when the queue is full.
func (fairQueue *FairQueue) Push(workspace string, weight float64) *Ticket {
	joined := fairQueue.flows[workspace]
	if joined == nil {
		joined = &flow{}
		fairQueue.flows[workspace] = joined
	}
	joined.weight = weight
	ticket := &Ticket{
		workspace: workspace,
		granted:   make(chan bool, 1),
	}
	joined.finish = max(joined.finish, fairQueue.clock) + 1/weight
	ticket.tag = joined.finish
	joined.tickets = append(joined.tickets, ticket)
	fairQueue.length++
	if fairQueue.length > fairQueue.capacity {
		fairQueue.evict()
	}
	return ticket
}

func (fairQueue *FairQueue) evict() {
	var worst *flow
	for _, candidate := range fairQueue.flows {
		if len(candidate.tickets) == 0 {
			continue
		}
		if worst == nil || over(candidate, worst) {
			worst = candidate
		}
	}
	last := worst.tickets[len(worst.tickets)-1]
	worst.tickets = worst.tickets[:len(worst.tickets)-1]
	worst.finish -= 1 / worst.weight
	fairQueue.length--
	fairQueue.forget(last.workspace)
	last.dropped = true
	last.granted <- false
}

func over(a, b *flow) bool {
	left, right := float64(len(a.tickets))/a.weight, float64(len(b.tickets))/b.weight
	if left != right {
		return left > right
	}
	return a.tickets[0].tag > b.tickets[0].tag
}

// Pop removes the request whose turn it is, or returns nil.
func (fairQueue *FairQueue) Pop() *Ticket {
	var next *flow
	for _, candidate := range fairQueue.flows {
		if len(candidate.tickets) > 0 && (next == nil || candidate.tickets[0].tag < next.tickets[0].tag) {
			next = candidate
		}
	}
	if next == nil {
		return nil
	}
	ticket := next.tickets[0]
	next.tickets = next.tickets[1:]
	fairQueue.length--
	fairQueue.clock = max(fairQueue.clock, ticket.tag)
	fairQueue.forget(ticket.workspace)
	return ticket
}

// Remove takes a request out of the queue and returns whether it was still waiting.
func (fairQueue *FairQueue) Remove(ticket *Ticket) bool {
	joined := fairQueue.flows[ticket.workspace]
	if joined == nil {
		return false
	}
	for i, waiting := range joined.tickets {
		if waiting == ticket {
			joined.tickets = append(joined.tickets[:i], joined.tickets[i+1:]...)
			fairQueue.length--
			fairQueue.forget(ticket.workspace)
			return true
		}
	}
	return false
}

func (fairQueue *FairQueue) forget(workspace string) {
	joined := fairQueue.flows[workspace]
	if len(joined.tickets) == 0 && joined.finish <= fairQueue.clock {
		delete(fairQueue.flows, workspace)
	}
}
