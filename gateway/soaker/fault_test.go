package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/cranberryward/cranberryward/standin/rankserver"
	"github.com/cranberryward/cranberryward/standin/storeserver"
)

func (process *process) kill()    { process.end(syscall.SIGKILL) }
func (process *process) suspend() { process.signal(syscall.SIGSTOP) }
func (process *process) resume()  { process.signal(syscall.SIGCONT) }

// fault is a kind of injected fault: begin chooses where it occurs and returns a function that ends it.
type fault struct {
	name  string
	begin func(random *rand.Rand) (end func())
}

func noop() {}

func (deployment *deployment) processes() []*process {
	return slices.Concat(deployment.entries, deployment.agents)
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// faults returns all kinds of faults.
func (deployment *deployment) faults() []fault {
	return slices.Concat(deployment.processFaults(), deployment.storeFaults(), deployment.backendFaults(), deployment.operatorFaults())
}

func (deployment *deployment) processFaults() []fault {
	restart := func(signal syscall.Signal, from func() []*process) func(*rand.Rand) func() {
		return func(random *rand.Rand) func() {
			chosen := pick(random, from())
			chosen.end(signal)
			return chosen.start
		}
	}
	entries := func() []*process { return deployment.entries }
	agents := func() []*process { return deployment.agents }
	freeze := func(random *rand.Rand) func() {
		chosen := pick(random, deployment.processes())
		chosen.suspend()
		return chosen.resume
	}
	return []fault{
		{"entry killed", restart(syscall.SIGKILL, entries)},
		{"agent killed", restart(syscall.SIGKILL, agents)},
		{"entry stopped", restart(syscall.SIGTERM, entries)},
		{"agent stopped", restart(syscall.SIGTERM, agents)},
		{"process frozen", freeze},
		{"settings changed", func(random *rand.Rand) func() {
			if chosen := pick(random, deployment.processes()); chosen.hasStarted() {
				chosen.signal(syscall.SIGHUP)
			}
			return noop
		}},
		{"all killed", func(*rand.Rand) func() {
			for _, process := range deployment.processes() {
				process.kill()
			}
			return func() {
				for _, process := range deployment.processes() {
					process.start()
				}
			}
		}},
	}
}

func (deployment *deployment) storeFaults() []fault {
	calls := func(kind storeserver.Fault, share float64) func(*rand.Rand) func() {
		return func(*rand.Rand) func() {
			deployment.store.SetFault(func(*http.Request) storeserver.Fault {
				if rand.Float64() < share {
					return kind
				}
				return storeserver.FaultNone
			})
			return func() { deployment.store.SetFault(nil) }
		}
	}
	proxyMode := func(mode faulter.Mode) func(*rand.Rand) func() {
		return func(random *rand.Rand) func() {
			chosen := pick(random, deployment.processes())
			chosen.store.SetMode(mode)
			return func() {
				chosen.store.SetMode(faulter.Disconnect) // closes the connections that were kept open
				chosen.store.SetMode(faulter.Pass)
			}
		}
	}
	return []fault{
		{"store refuses", calls(storeserver.FaultUnavailable, 1)},
		{"store silent", calls(storeserver.FaultNoResponse, 1)},
		{"store's responses lost", calls(storeserver.FaultLostResponse, 0.3)},
		{"store compacts its history", func(*rand.Rand) func() {
			deployment.store.Compact()
			return noop
		}},
		{"store returns from an older copy", func(*rand.Rand) func() {
			older := deployment.store.Copy()
			return func() { deployment.restore(older, returnDelay) }
		}},
		{"store cut off for one process", proxyMode(faulter.Disconnect)},
		{"store silent for one process", proxyMode(faulter.Freeze)},
		{"store's responses dropped for one process", proxyMode(faulter.DropResponses)},
		{"store slow for one process", func(random *rand.Rand) func() {
			chosen := pick(random, deployment.processes())
			chosen.store.SetDelay(200 * time.Millisecond)
			return func() { chosen.store.SetDelay(0) }
		}},
	}
}

func (deployment *deployment) backendFaults() []fault {
	share := func(set func(app *app, share int64)) func(*rand.Rand) func() {
		return func(random *rand.Rand) func() {
			chosen := pick(random, deployment.apps)
			set(chosen, 40)
			return func() { set(chosen, 0) }
		}
	}
	return []fault{
		{"rank lost", func(*rand.Rand) func() {
			deployment.broken.Store(true)
			deployment.group.Break()
			return func() {
				deployment.group.Reopen()
				deployment.broken.Store(false)
			}
		}},
		{"requests with a crashing part", func(*rand.Rand) func() {
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			deployment.crashingPart.Store(crashingPart)
			go func() {
				defer close(ended)
				deployment.runCrashing(ctx)
			}()
			return func() {
				cancel()
				<-ended
				deployment.crashingPart.Store("")
				deployment.awaitGroup()
			}
		}},
		{"a crashing request", func(random *rand.Rand) func() {
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			kind := pick(random, []kind{booking, lookup, stream})
			go func() {
				defer close(ended)
				deployment.runRepeats(ctx, kind)
			}()
			return func() {
				cancel()
				<-ended
				deployment.awaitGroup()
			}
		}},
		{"orders lost", func(random *rand.Rand) func() {
			rank := deployment.group.Rank(random.IntN(deployment.group.RankCount()))
			rank.SetFault(func(rankserver.Order) rankserver.Fault {
				return rankserver.Fault{
					Lose:       rand.IntN(3) == 0,
					LoseAnswer: rand.IntN(3) == 0,
				}
			})
			return func() { rank.SetFault(nil) }
		}},
		{"responses reset", share(func(app *app, share int64) { app.resets.Store(share) })},
		{"requests refused", share(func(app *app, share int64) { app.refuses.Store(share) })},
		{"requests fail", share(func(app *app, share int64) { app.fails.Store(share) })},
		{"answers are broken", share(func(app *app, share int64) { app.spoils.Store(share) })},
		{"wrong IDs of events", func(random *rand.Rand) func() {
			deployment.wrongIDs.Store(1 + random.Int64N(maxWrongIDs))
			return func() { deployment.wrongIDs.Store(0) }
		}},
		{"backend server leaves", func(random *rand.Rand) func() {
			number := random.IntN(len(deployment.apps))
			id := fmt.Sprintf("app-%d", number)
			deployment.register(id, "app", deployment.address("3", number, appPort), number, "draining")
			return func() {
				deployment.remove("servers/" + id)
				deployment.register(id, "app", deployment.address("3", number, appPort), number, "ready")
			}
		}},
	}
}

// maxWrongIDs is the largest percentage of events with a wrong ID.
const maxWrongIDs = 5

func (deployment *deployment) operatorFaults() []fault {
	return []fault{
		{"configuration changes", func(*rand.Rand) func() {
			deployment.configure()
			return noop
		}},
		{"unreadable registration", func(*rand.Rand) func() {
			deployment.store.Put("servers/foreign", []byte("\x00\xff"))
			return func() { deployment.remove("servers/foreign") }
		}},
	}
}
