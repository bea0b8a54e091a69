package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// readTimeout bounds a read of the store, which answers in milliseconds, so that another process can read instead.
	readTimeout = 600 * time.Millisecond
	// slowReadTimeout applies after reads that timed out, because a slow store still serves reads that wait longer.
	slowReadTimeout = 3 * time.Second
	// fetchTimeout bounds the fetch of a peer's snapshot.
	fetchTimeout = 500 * time.Millisecond
	// firstReadJitter keeps processes that start together from reading at the same moment.
	firstReadJitter = 100 * time.Millisecond
	// seedTimeout is how long a starting process waits for a seed's snapshot before it reads the store itself.
	seedTimeout = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed read; the maximum is below the bound on the time until a configuration is in
	// force.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// retrySpacing is the mean time between the reads of all live processes together while the store fails them: the first one that succeeds tells
	// the others.
	retrySpacing = 25 * time.Millisecond
	// maxSharedRetryPause bounds the resulting pause, because peers that count as live may be gone.
	maxSharedRetryPause = 4 * time.Second
	// minReadInterval bounds the rate of reads whatever the store answers.
	minReadInterval = 50 * time.Millisecond
)

var errNoSnapshot = eris.New("no snapshot yet")

// errOutdatedRead means that the store has answered with what it held before the current snapshot.
var errOutdatedRead = eris.New("the store's answer is older than the current snapshot")

// Relayer keeps a snapshot up to date.
type Relayer struct {
	options Options
	source  cranberryward.ViewSource
	client  *caller.Client
	socket  *net.UDPConn

	mutex    sync.Mutex
	snapshot *Snapshot
	changes  changes
	readAt   time.Time
	peers    map[string]*peer
	// fetching is the position that is being fetched from a peer, and fetchingSince is when that fetch began.
	fetching      cranberryward.Position
	fetchingSince time.Time
	group         *cranberryward.GroupState

	// life identifies this run of the process, sequence numbers the notices that it spreads, and received holds those of others.
	life     uint64
	sequence atomic.Uint64
	received sequences
	news     groupNews

	reads, failures int
}

type peer struct {
	notice    Notice
	lastHeard time.Time
}

// New returns a relayer that listens for notices on the address in the options.
func New(options Options, source cranberryward.ViewSource, client *caller.Client) (*Relayer, error) {
	address, err := net.ResolveUDPAddr("udp4", options.Address)
	if err != nil {
		return nil, eris.Wrap(err, "resolve the address for notices")
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for notices")
	}
	return &Relayer{
		options: options,
		source:  source,
		client:  client,
		socket:  socket,
		peers:   map[string]*peer{},
		life:    rand.Uint64(),
	}, nil
}

// Run keeps the snapshot up to date until the context ends.
func (relayer *Relayer) Run(ctx context.Context) {
	go relayer.listen()
	go relayer.announcePeriodically(ctx)
	relayer.refresh(ctx)
	_ = relayer.socket.Close()
}

// Snapshot returns the current snapshot and its age; it is nil before the first read or fetch.
func (relayer *Relayer) Snapshot() (*Snapshot, time.Duration) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.snapshot, time.Since(relayer.readAt)
}

// Fetch returns the snapshot to a peer, without the configuration if the peer has it, and with only the changes of the registrations if the
// retained ones reach back to the peer's snapshot.
func (relayer *Relayer) Fetch(request FetchRequest, reply *FetchReply) error {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.snapshot == nil {
		return caller.EncodeError(cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonPlatformUnavailable, "this process has no snapshot yet"))
	}
	snapshot := *relayer.snapshot
	reply.Belief, reply.Age = &snapshot, time.Since(relayer.readAt)
	// The configuration and the registrations grow with the deployment, so what the peer has is omitted.
	if deployment := snapshot.Deployment; deployment != nil && deployment.Revision == request.Deployment && deployment.Era == request.DeploymentEra {
		snapshot.Deployment, reply.SameDeployment = nil, true
	}
	if request.Content != 0 {
		reply.Changed, reply.Removed, reply.ChangesOnly = relayer.changes.since(request.Content)
	}
	if reply.ChangesOnly {
		snapshot.Servers = nil
	}
	return nil
}

// refresh reads the store whenever the snapshot has reached the refresh age.
func (relayer *Relayer) refresh(ctx context.Context) {
	pause := time.Duration(rand.Int64N(int64(firstReadJitter)))
	if !slices.Contains(relayer.options.Seeds, relayer.options.Address) && len(relayer.options.Seeds) > 0 {
		pause += seedTimeout
	}
	retry := minRetryPause
	timeout := readTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if pause = relayer.timeUntilRefresh(); pause > 0 {
			continue
		}
		err := relayer.read(ctx, timeout)
		if err == nil {
			retry, timeout = minRetryPause, readTimeout
			pause = max(relayer.timeUntilRefresh(), minReadInterval)
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			timeout = slowReadTimeout
		}
		mean := retryPause(retry, len(relayer.LivePeers()))
		pause = mean/2 + time.Duration(rand.Int64N(int64(mean)))
		retry = min(2*retry, maxRetryPause)
	}
}

// retryPause returns the mean pause after a failed read of a process with the given number of live peers.
func retryPause(retry time.Duration, peers int) time.Duration {
	return max(retry, min(time.Duration(peers+1)*retrySpacing, maxSharedRetryPause))
}

// timeUntilRefresh returns how long the snapshot stays fresh enough, which differs among the processes so that one reads and the others copy.
func (relayer *Relayer) timeUntilRefresh() time.Duration {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.snapshot == nil {
		return 0
	}
	return max(relayer.options.RefreshAge+relayer.readDelay()-time.Since(relayer.readAt), 0)
}

func (relayer *Relayer) read(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	current, _ := relayer.Snapshot()
	var next cranberryward.View
	err := errNoSnapshot
	if current != nil {
		next, err = relayer.source.UpdateView(ctx, current.View)
	}
	if err != nil && !errors.Is(err, cranberryward.ErrStoreUnavailable) && ctx.Err() == nil {
		if current != nil {
			_ = level.Info(relayer.options.Logger).Log("event", "store_update_failed", "error", err)
		}
		next, err = relayer.source.ReadView(ctx)
	}
	meter.CountStoreRead(err != nil)
	relayer.mutex.Lock()
	relayer.reads++
	if err != nil {
		relayer.failures++
	}
	relayer.mutex.Unlock()
	if err != nil {
		_ = level.Warn(relayer.options.Logger).Log("event", "store_read_failed", "error", err)
		return err
	}
	read := newSnapshot(next)
	if !relayer.adopt(read, begun, "store") {
		relayer.announceAge()
	}
	if current, _ := relayer.Snapshot(); read.Position().Before(current.Position()) {
		return errOutdatedRead // a read that does not count must not be repeated without a pause
	}
	return nil
}

// adopt replaces the current snapshot by one that is not older, or takes a configuration from one that supersedes the current one; if the content differs, it
// also announces the change and returns true.
func (relayer *Relayer) adopt(next *Snapshot, readAt time.Time, from string) bool {
	relayer.mutex.Lock()
	before := relayer.snapshot
	outdated := before != nil && next.Position().Before(before.Position())
	if outdated && !next.Deployment.Supersedes(before.Deployment) {
		relayer.mutex.Unlock()
		return false
	}
	next = combine(before, next)
	relayer.snapshot = next
	readBefore := relayer.readAt
	if !outdated && readAt.After(relayer.readAt) {
		relayer.readAt = readAt
	}
	changed := before == nil || before.Content != next.Content
	if changed && before != nil {
		relayer.changes.record(before, next)
	}
	if changed && relayer.options.OnReading != nil {
		relayer.options.OnReading(readBefore, relayer.readAt)
	}
	if changed && relayer.options.OnChange != nil {
		relayer.options.OnChange(before, next)
	}
	relayer.mutex.Unlock()
	if !changed {
		return false
	}
	_ = level.Info(relayer.options.Logger).Log("event", "belief_changed", "from", from, "era", next.Era, "at", next.At, "configuration", next.version(), "servers", len(next.Servers), "age_ms", time.Since(readAt).Milliseconds())
	relayer.announceChange()
	return true
}

// Address returns the address at which peers reach this process.
func (relayer *Relayer) Address() string { return relayer.options.Address }
