package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lossShare is the share of the packets that a lossy link loses, the usual one of the bench, which no site exceeds.
	lossShare = 0.03
	// retransmitTime is how much later a lost packet arrives, and all behind it: the least retransmission time-out of TCP.
	retransmitTime = 200 * time.Millisecond
	// zoneDelay is the time that a packet takes between two zones.
	zoneDelay = 1400 * time.Microsecond
	// lossTime is how long links are lossy at a time, the longest one that the site names, and calmTime the pause until the next time.
	lossTime = 5500 * time.Millisecond
	calmTime = 500 * time.Millisecond
	// lossyZone is the zone whose links to the others lose packets.
	lossyZone = 0
)

// network carries the connections to the agents, and delays what passes a lossy link.
type network struct {
	stage *stage
	lossy atomic.Bool
	// parts counts what has passed lossy links, and delayed what of it was lost at first.
	parts, delayed atomic.Int64

	mutex sync.Mutex
	// zones holds the availability zone of each process.
	zones map[int]int
}

func newNetwork(stage *stage) *network {
	return &network{
		stage: stage,
		zones: map[int]int{},
	}
}

// addProcess makes the zone of a process known.
func (network *network) addProcess(pid, zone int) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.zones[pid] = zone
}

// proxy accepts the connections to the agent of a rank.
func (network *network) proxy(index int) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(rankHost(index), strconv.Itoa(peerPort)))
	if err != nil {
		return err
	}
	network.stage.onClose(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go network.carry(accepted, index)
		}
	}()
	return nil
}

// carry passes on what a connection to an agent brings, in both directions.
func (network *network) carry(accepted net.Conn, index int) {
	defer func() { _ = accepted.Close() }()
	target, err := net.Dial("tcp", net.JoinHostPort(agentHost(index), strconv.Itoa(peerPort)))
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	from, known := network.zoneOfCaller(accepted)
	far := known && from != zoneOf(index)
	lossy := far && (from == lossyZone || zoneOf(index) == lossyZone)
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{accepted, target}, {target, accepted}} {
		go func() {
			network.pass(pair[0], pair[1], far, lossy)
			ended <- struct{}{}
		}()
	}
	<-ended
}

// loseInSpells makes the links lossy again and again.
func (network *network) loseInSpells(ctx context.Context) {
	for ctx.Err() == nil {
		network.lossy.Store(true)
		time.Sleep(lossTime)
		network.lossy.Store(false)
		time.Sleep(calmTime)
	}
}

// pass passes on what arrives, part by part; what is lost arrives later, and all behind it too.
func (network *network) pass(from, to net.Conn, far, lossy bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if far && n > 0 {
			time.Sleep(zoneDelay)
		}
		if lossy && n > 0 && network.lossy.Load() {
			network.parts.Add(1)
			if rand.Float64() < lossShare {
				network.delayed.Add(1)
				time.Sleep(retransmitTime)
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// zoneOfCaller returns the zone of the process that has made a connection.
func (network *network) zoneOfCaller(accepted net.Conn) (zone int, known bool) {
	inode, err := inodeOf(accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return 0, false
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for pid, zone := range network.zones {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // none if the process has ended
		for _, link := range links {
			if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
				return zone, true
			}
		}
	}
	return 0, false
}

// inodeOf returns the inode of the socket of a connection.
func inodeOf(local, remote *net.TCPAddr) (string, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	ends := hexAddress(local) + " " + hexAddress(remote)
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1]+" "+fields[2] == ends {
			return fields[9], nil
		}
	}
	return "", io.EOF
}

// hexAddress returns an address as /proc/net/tcp writes it.
func hexAddress(address *net.TCPAddr) string {
	ip := address.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
}

// mustParse returns the URL of a constant path.
func mustParse(path string) *url.URL {
	parsed, err := url.Parse(path)
	if err != nil {
		panic(err)
	}
	return parsed
}
