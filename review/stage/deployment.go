package stage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward/standin/storeserver"
	"github.com/rotisserie/eris"
)

const (
	// Host is the host of all routes, and Key the API key of the only workspace.
	Host = "front.example"
	Key  = "k3y0f0n3w0rksp4c3"
	// heartbeatInterval is how often the backend servers write their registrations, as in the users' settings.
	heartbeatInterval = 1200 * time.Millisecond
	// firstEntryHost and firstServerHost are the last numbers of the addresses of the first entry and the first backend server.
	firstEntryHost  = 10
	firstServerHost = 100
)

// Deployment is a small deployment on loopback addresses: the platform's store, entries and backend servers.
type Deployment struct {
	record    *Record
	directory string
	network   string
	ports     ports
	store     *storeserver.Server
	address   string
	ended     chan struct{}
	wait      sync.WaitGroup

	mutex    sync.Mutex
	sequence int
	servers  []*Server
	entries  []*Entry
}

// ports are the ports of all entries, which are the same on all instances.
type ports struct{ peers, callers, ready, control, metrics int }

// NewDeployment returns a deployment with a store and nothing else.
func NewDeployment(record *Record) (*Deployment, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, eris.Wrap(err, "create a folder for settings")
	}
	deployment := &Deployment{
		record:    record,
		directory: directory,
		network:   fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)),
		store:     storeserver.New(),
		ended:     make(chan struct{}),
	}
	if err := deployment.ports.choose(deployment.ip(firstEntryHost)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", deployment.ip(1)+":0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for calls to the store")
	}
	deployment.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, withoutEra{deployment.store}) }() // ends with the program
	deployment.wait.Go(deployment.beat)
	return deployment, nil
}

// choose sets the ports to free ones, each another.
func (ports *ports) choose(ip string) error {
	for _, port := range []*int{&ports.peers, &ports.callers, &ports.ready, &ports.control, &ports.metrics} {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return eris.Wrap(err, "look for a free port")
		}
		defer listener.Close() // open until all are chosen
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// withoutEra is the store without the header that names its era, which is no part of the users' pages that are in force.
type withoutEra struct{ store http.Handler }

// ServeHTTP serves a call.
func (withoutEra withoutEra) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	withoutEra.store.ServeHTTP(eraRemover{writer}, request)
}

type eraRemover struct{ http.ResponseWriter }

// WriteHeader removes the header before the others are sent.
func (eraRemover eraRemover) WriteHeader(status int) {
	eraRemover.Header().Del("Store-Era")
	eraRemover.ResponseWriter.WriteHeader(status)
}

// Write does the same for an answer without an explicit status.
func (eraRemover eraRemover) Write(text []byte) (int, error) {
	eraRemover.Header().Del("Store-Era")
	return eraRemover.ResponseWriter.Write(text)
}

func (deployment *Deployment) ip(host int) string {
	return deployment.network + "." + strconv.Itoa(host)
}

// Put writes a key of the store as operators and backend servers do.
func (deployment *Deployment) Put(key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode a value of the store")
	}
	deployment.store.Put(key, text)
	return nil
}

// Configure writes a configuration with the given routes, services and limits for one workspace.
func (deployment *Deployment) Configure(version int, routes, services []any, limits map[string]any) error {
	deployment.record.Add("operator writes configuration %d, limits %v", version, limits)
	return deployment.Put("op/config", map[string]any{
		"Version":  version,
		"Routes":   routes,
		"Services": services,
		"Limits":   limits,
		"Tenants":  []any{map[string]any{"Name": "workspace-a", "ApiKeys": []string{Key}}},
	})
}

// beat writes the registrations of the backend servers until the deployment ends.
func (deployment *Deployment) beat() {
	for {
		select {
		case <-deployment.ended:
			return
		case <-time.After(heartbeatInterval):
		}
		deployment.mutex.Lock()
		servers := deployment.servers
		deployment.mutex.Unlock()
		for _, server := range servers {
			if server.isDown() {
				continue // a backend server that has crashed writes nothing
			}
			if err := deployment.register(server); err != nil {
				deployment.record.Add("registration of %s failed: %v", server.ID, err)
			}
		}
	}
}

func (deployment *Deployment) register(server *Server) error {
	deployment.mutex.Lock()
	deployment.sequence++
	sequence := deployment.sequence
	deployment.mutex.Unlock()
	return deployment.Put("servers/"+server.ID, map[string]any{"Service": server.Service, "Address": server.Address(), "Zone": "zone-a", "Version": 1,
		"Slots": server.Slots, "State": "ready", "ColdRemainingMs": 0, "Sequence": sequence, "born": server.bornAt()})
}

// AddServer starts a backend server and registers it.
func (deployment *Deployment) AddServer(server *Server) error {
	deployment.mutex.Lock()
	number := len(deployment.servers)
	deployment.mutex.Unlock()
	if err := server.start(deployment.record, deployment.ip(firstServerHost+number)+":0"); err != nil {
		return err
	}
	deployment.mutex.Lock()
	deployment.servers = append(deployment.servers, server)
	deployment.mutex.Unlock()
	return deployment.register(server)
}

// End kills all processes and removes the folder of the settings.
func (deployment *Deployment) End() {
	close(deployment.ended)
	deployment.wait.Wait()
	for _, entry := range deployment.entries {
		entry.Kill()
	}
	for _, server := range deployment.servers {
		server.stop()
	}
	_ = os.RemoveAll(deployment.directory) // what is left is in the system's folder for temporary files
}
