package forwarder

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// crashCheckDelay is the time between the loss of a connection and the check whether the backend server is down: the connections of a process that
	// ends are closed in any order.
	crashCheckDelay = 10 * time.Millisecond
	// crashCheckTimeout bounds that check; a backend server that is down, and whose instance is not, refuses connections within a few milliseconds.
	crashCheckTimeout = 150 * time.Millisecond
)

// errServerEnded means that a response without a length ended because its backend server did.
var errServerEnded = eris.New("the backend server is down at the end of a response without a length")

// crashChecks finds out whether backend servers have crashed after their connections have ended; sends that end together share one check. Its zero value is ready to
// use.
type crashChecks struct {
	mutex sync.Mutex
	// pending holds the checks that have not begun to connect, by address.
	pending map[string]*crashCheck
}

// crashCheck is a check whose result is valid once done is closed.
type crashCheck struct {
	done chan struct{}
	down bool
}

// down returns whether the instance at an address answers and no process listens there, as after a crash.
func (crashChecks *crashChecks) down(address string) bool {
	check, first := crashChecks.join(address)
	if !first {
		<-check.done
		return check.down
	}
	time.Sleep(crashCheckDelay)
	crashChecks.mutex.Lock()
	delete(crashChecks.pending, address)
	crashChecks.mutex.Unlock()
	check.down = refusesConnections(address)
	close(check.done)
	return check.down
}

// join returns the pending check of an address, or a new one, which its caller has to carry out.
func (crashChecks *crashChecks) join(address string) (check *crashCheck, first bool) {
	crashChecks.mutex.Lock()
	defer crashChecks.mutex.Unlock()
	if check := crashChecks.pending[address]; check != nil {
		return check, false
	}
	if crashChecks.pending == nil {
		crashChecks.pending = map[string]*crashCheck{}
	}
	check = &crashCheck{done: make(chan struct{})}
	crashChecks.pending[address] = check
	return check, true
}

func refusesConnections(address string) bool {
	connection, err := net.DialTimeout("tcp", address, crashCheckTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // nothing was sent on it
	return false
}
