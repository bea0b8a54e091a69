package limiter

// QueuedRequest is a request in a FairQueue.
type QueuedRequest struct {
	workspace string
	finishTag float64
	dropped   bool
	granted   chan bool
}

// Granted returns a channel that receives true when the request may run, or false when it is refused.
func (queuedRequest *QueuedRequest) Granted() <-chan bool { return queuedRequest.granted }

type flow struct {
	weight        float64
	lastFinishTag float64
	requests      []*QueuedRequest
}

// FairQueue orders queued requests so that each workspace gets a share in proportion to its weight (weighted fair queueing).
type FairQueue struct {
	capacity    int
	length      int
	virtualTime float64
	flows       map[string]*flow
}

// NewFairQueue returns an empty queue that holds at most the given number of requests.
func NewFairQueue(capacity int) *FairQueue {
	return &FairQueue{
		capacity: capacity,
		flows:    map[string]*flow{},
	}
}

// PriorityWeight returns the weight in a FairQueue of a priority from 0 to 9.
func PriorityWeight(priority int) float64 {
	return float64((priority + 1) * (priority + 1))
}

// Len returns the number of queued requests.
func (fairQueue *FairQueue) Len() int { return fairQueue.length }

// Push adds a request; when the queue is full, it refuses the newest request of the workspace that is furthest over its share.
func (fairQueue *FairQueue) Push(workspace string, weight float64) *QueuedRequest {
	workspaceFlow := fairQueue.flows[workspace]
	if workspaceFlow == nil {
		workspaceFlow = &flow{}
		fairQueue.flows[workspace] = workspaceFlow
	}
	workspaceFlow.weight = weight
	queuedRequest := &QueuedRequest{
		workspace: workspace,
		granted:   make(chan bool, 1),
	}
	workspaceFlow.lastFinishTag = max(workspaceFlow.lastFinishTag, fairQueue.virtualTime) + 1/weight
	queuedRequest.finishTag = workspaceFlow.lastFinishTag
	workspaceFlow.requests = append(workspaceFlow.requests, queuedRequest)
	fairQueue.length++
	if fairQueue.length > fairQueue.capacity {
		fairQueue.evict()
	}
	return queuedRequest
}

func (fairQueue *FairQueue) evict() {
	var worst *flow
	for _, candidate := range fairQueue.flows {
		if len(candidate.requests) == 0 {
			continue
		}
		if worst == nil || furtherOverShare(candidate, worst) {
			worst = candidate
		}
	}
	last := worst.requests[len(worst.requests)-1]
	worst.requests = worst.requests[:len(worst.requests)-1]
	worst.lastFinishTag -= 1 / worst.weight
	fairQueue.length--
	fairQueue.removeIdleFlow(last.workspace)
	last.dropped = true
	last.granted <- false
}

// furtherOverShare returns whether flow a has more queued requests for its weight than flow b; on a tie the later first finish tag decides.
func furtherOverShare(a, b *flow) bool {
	shareOfA, shareOfB := float64(len(a.requests))/a.weight, float64(len(b.requests))/b.weight
	if shareOfA != shareOfB {
		return shareOfA > shareOfB
	}
	return a.requests[0].finishTag > b.requests[0].finishTag
}

// Pop removes and returns the request with the lowest finish tag, or returns nil if the queue is empty.
func (fairQueue *FairQueue) Pop() *QueuedRequest {
	var next *flow
	for _, candidate := range fairQueue.flows {
		if len(candidate.requests) > 0 && (next == nil || candidate.requests[0].finishTag < next.requests[0].finishTag) {
			next = candidate
		}
	}
	if next == nil {
		return nil
	}
	queuedRequest := next.requests[0]
	next.requests = next.requests[1:]
	fairQueue.length--
	fairQueue.virtualTime = max(fairQueue.virtualTime, queuedRequest.finishTag)
	fairQueue.removeIdleFlow(queuedRequest.workspace)
	return queuedRequest
}

// Remove removes a request and returns whether it was still queued.
func (fairQueue *FairQueue) Remove(queuedRequest *QueuedRequest) bool {
	workspaceFlow := fairQueue.flows[queuedRequest.workspace]
	if workspaceFlow == nil {
		return false
	}
	for i, waiting := range workspaceFlow.requests {
		if waiting == queuedRequest {
			workspaceFlow.requests = append(workspaceFlow.requests[:i], workspaceFlow.requests[i+1:]...)
			fairQueue.length--
			fairQueue.removeIdleFlow(queuedRequest.workspace)
			return true
		}
	}
	return false
}

func (fairQueue *FairQueue) removeIdleFlow(workspace string) {
	workspaceFlow := fairQueue.flows[workspace]
	if len(workspaceFlow.requests) == 0 && workspaceFlow.lastFinishTag <= fairQueue.virtualTime {
		delete(fairQueue.flows, workspace)
	}
}
