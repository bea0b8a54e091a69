package connector

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds the time to connect within a region, whose links have a latency of a few milliseconds; a lost packet is sent again after
	// one second.
	dialTimeout = 1200 * time.Millisecond
	// userTimeout ends a connection whose peer acknowledges nothing, because it has lost power or a partition separates it; watchWindow suspends it.
	userTimeout = 1500 * time.Millisecond
	// keepAliveSteps is the number of equal pauses in that time: one before the first probe, and one after each probe.
	keepAliveSteps = 3
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 16
	// strayTime is how long no connection is reused to a backend server that has sent bytes which belong to no response: they may arrive on any of its connections only
	// after the next request was sent.
	strayTime = 10 * time.Second
)

// Connector pools connections to backend servers; its zero value is ready to use.
type Connector struct {
	mutex sync.Mutex
	idle  map[string][]*connection
	open  map[string]int
	// strayAt is when bytes that are no response were last found behind the response of an address.
	strayAt map[string]time.Time
}

// acquire returns an idle connection to the address, or a new one, made within the time-out, if there is none or one is asked for.
func (connector *Connector) acquire(ctx context.Context, address string, forceNew bool, timeout time.Duration) (*connection, error) {
	if !forceNew {
		if idle := connector.takeIdle(address); idle != nil {
			return idle, nil
		}
	}
	connector.reserve(address)
	if timeout <= 0 {
		timeout = dialTimeout
	}
	dialer := net.Dialer{
		Timeout: timeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     userTimeout / keepAliveSteps,
			Interval: userTimeout / keepAliveSteps,
			Count:    keepAliveSteps - 1,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		connector.release(address)
		return nil, eris.Wrap(err, "connect")
	}
	return newConnection(conn, address), nil
}

// takeIdle returns the most recently used idle connection to the address that is still usable, or nil, and closes the unusable ones it finds.
func (connector *Connector) takeIdle(address string) *connection {
	now := time.Now()
	for {
		connector.mutex.Lock()
		list := connector.idle[address]
		if len(list) == 0 {
			connector.mutex.Unlock()
			return nil
		}
		idle, strays := list[len(list)-1], connector.strays(address)
		connector.idle[address] = list[:len(list)-1]
		connector.mutex.Unlock()
		if !strays && now.Sub(idle.idleSince) < idle.idleLimit && idle.hasNoInput() {
			idle.used = true
			return idle
		}
		connector.discard(idle)
	}
}

// HasIdle returns whether an idle connection to the address may be reused, unless its backend server has closed it meanwhile.
func (connector *Connector) HasIdle(address string) bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	list := connector.idle[address]
	if len(list) == 0 || connector.strays(address) {
		return false
	}
	last := list[len(list)-1]
	return time.Since(last.idleSince) < last.idleLimit
}

// reserve increments the number of open connections to the address, and release decrements it.
func (connector *Connector) reserve(address string) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if connector.open == nil {
		connector.open = map[string]int{}
		connector.idle = map[string][]*connection{}
	}
	connector.open[address]++
}

func (connector *Connector) release(address string) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	connector.open[address]--
	if connector.open[address] <= 0 {
		delete(connector.open, address)
	}
}

func (connector *Connector) discard(connection *connection) {
	_ = connection.Close() // the connection is given up, whether or not closing it succeeds
	connector.release(connection.address)
}

// reset closes a connection with an exchange in progress by a TCP reset, so that bytes that are not delivered yet are dropped.
func (connection *connection) reset() {
	if tcp, ok := connection.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an orderly close would end the run at the backend server later
	}
	_ = connection.Close() // readers of the connection get the error
}

// recordStray records that bytes which are no response were found behind a response of an address.
func (connector *Connector) recordStray(address string) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if connector.strayAt == nil {
		connector.strayAt = map[string]time.Time{}
	}
	connector.strayAt[address] = time.Now()
}

// strays returns whether the connections to an address are not to be reused; the caller holds the mutex.
func (connector *Connector) strays(address string) bool {
	at, found := connector.strayAt[address]
	return found && time.Since(at) < strayTime
}

// putIdle makes a connection available for reuse, or closes it if it is not reusable or too many are idle.
func (connector *Connector) putIdle(connection *connection) {
	if connection.broken || connection.idleLimit <= 0 || connection.reader.Buffered() > 0 || connection.SetDeadline(time.Time{}) != nil {
		connector.discard(connection)
		return
	}
	connection.idleSince = time.Now()
	connector.mutex.Lock()
	full := len(connector.idle[connection.address]) >= maxIdlePerServer || connector.strays(connection.address)
	if !full {
		connector.idle[connection.address] = append(connector.idle[connection.address], connection)
	}
	connector.mutex.Unlock()
	if full {
		connector.discard(connection)
	}
}

// CloseExpired closes the connections that have been idle longer than their limits.
func (connector *Connector) CloseExpired() {
	now := time.Now()
	var expired []*connection
	connector.mutex.Lock()
	for address := range connector.strayAt {
		if !connector.strays(address) {
			delete(connector.strayAt, address)
		}
	}
	for address, list := range connector.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.Sub(connection.idleSince) < connection.idleLimit {
				kept = append(kept, connection)
			} else {
				expired = append(expired, connection)
			}
		}
		connector.idle[address] = kept
		if len(kept) == 0 {
			delete(connector.idle, address)
		}
	}
	connector.mutex.Unlock()
	for _, connection := range expired {
		connector.discard(connection)
	}
}

// OpenConnections returns the number of open connections to all backend servers.
func (connector *Connector) OpenConnections() int {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	total := 0
	for _, count := range connector.open {
		total += count
	}
	return total
}

// CloseIdle closes the idle connections to an address.
func (connector *Connector) CloseIdle(address string) {
	connector.mutex.Lock()
	list := connector.idle[address]
	delete(connector.idle, address)
	connector.mutex.Unlock()
	for _, connection := range list {
		connector.discard(connection)
	}
}
