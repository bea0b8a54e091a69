package faulter

import (
	"net"
	"sync"
	"time"
)

const copyBufferBytes = 32 << 10

// Mode is what a proxy does with its connections.
type Mode int

const (
	// Pass forwards in both directions.
	Pass Mode = iota
	// Disconnect closes all connections, and new ones as soon as they are accepted.
	Disconnect
	// Freeze keeps connections open and forwards nothing until the mode changes.
	Freeze
	// DropRequests discards what clients send and forwards only from the target to the client.
	DropRequests
	// DropResponses discards what the target sends and forwards only from the client to the target.
	DropResponses
	// HalfOpen closes the connections to the target and keeps those to the clients open until they send data.
	HalfOpen
)

// Proxy forwards TCP connections to a target and injects the faults that are set.
type Proxy struct {
	listener      net.Listener
	target        string
	mutex         sync.Mutex
	mode          Mode
	delay         time.Duration
	changed       chan struct{}
	connections   map[net.Conn]bool
	toTarget      map[net.Conn]bool
	closed        bool
	responseBytes int64
	cutAt         int64
}

// NewProxy returns a proxy that listens on the address and forwards to the target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{
		listener:    listener,
		target:      target,
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
		toTarget:    map[net.Conn]bool{},
	}
	go proxy.accept()
	return proxy, nil
}

// Address returns the address that the proxy listens on.
func (proxy *Proxy) Address() string { return proxy.listener.Addr().String() }

// SetMode changes the mode, for open connections too.
func (proxy *Proxy) SetMode(mode Mode) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	close(proxy.changed)
	proxy.changed = make(chan struct{})
	for connection := range proxy.connections {
		if mode == Disconnect || (mode == HalfOpen && proxy.toTarget[connection]) {
			_ = connection.Close()
		}
	}
}

// SetDelay sets the delay before each chunk of data is forwarded.
func (proxy *Proxy) SetDelay(delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.delay = delay
}

// CutAfter closes a connection once the target has sent the given number of bytes more, counted over all connections.
func (proxy *Proxy) CutAfter(bytes int64) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.cutAt = proxy.responseBytes + bytes
}

// Close stops the proxy and closes its connections.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.mutex.Lock()
	proxy.closed = true
	proxy.mutex.Unlock()
	proxy.SetMode(Disconnect)
}

func (proxy *Proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(client)
	}
}

func (proxy *Proxy) track(connection net.Conn, target bool) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.closed || proxy.mode == Disconnect {
		_ = connection.Close()
		return false
	}
	proxy.connections[connection] = true
	proxy.toTarget[connection] = target
	return true
}

func (proxy *Proxy) untrack(connection net.Conn) {
	_ = connection.Close()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.connections, connection)
	delete(proxy.toTarget, connection)
}

func (proxy *Proxy) serve(client net.Conn) {
	if !proxy.track(client, false) {
		return
	}
	defer proxy.untrack(client)
	target, err := net.Dial("tcp", proxy.target)
	if err != nil || !proxy.track(target, true) {
		return
	}
	defer proxy.untrack(target)
	done := make(chan struct{})
	go func() {
		proxy.forward(target, client, DropRequests, false)
		close(done)
	}()
	proxy.forward(client, target, DropResponses, true)
	<-done
}

func (proxy *Proxy) forward(to, from net.Conn, drop Mode, response bool) {
	defer func() {
		if proxy.currentMode() != HalfOpen {
			_ = to.Close()
			_ = from.Close()
		}
	}()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && proxy.waitToForward(drop) {
			if response && proxy.countResponse(int64(n)) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (proxy *Proxy) currentMode() Mode {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode
}

// waitToForward blocks while the proxy is frozen, waits for the delay and returns whether to forward the data.
func (proxy *Proxy) waitToForward(drop Mode) bool {
	for {
		proxy.mutex.Lock()
		mode, delay, changed := proxy.mode, proxy.delay, proxy.changed
		proxy.mutex.Unlock()
		switch mode {
		case Freeze:
			<-changed
			continue
		case drop, Disconnect:
			return false
		}
		time.Sleep(delay)
		return true
	}
}

func (proxy *Proxy) countResponse(bytes int64) (cut bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.responseBytes += bytes
	if proxy.cutAt > 0 && proxy.responseBytes >= proxy.cutAt {
		proxy.cutAt = 0
		return true
	}
	return false
}
