package deployer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// The ports lie below those that the kernel gives to outgoing connections, so that none is taken before it is bound.
	lowestPort  = 10000
	highestPort = 32000
	portTries   = 1000
)

var given sync.Map

// FreeAddress returns an address of the loopback IP that was free a moment ago and that it has not returned before.
func FreeAddress(ip string) (string, error) {
	for range portTries {
		address := fmt.Sprintf("%s:%d", ip, lowestPort+rand.IntN(highestPort-lowestPort))
		if _, twice := given.LoadOrStore(address, true); twice {
			continue
		}
		held, err := net.Listen("tcp", address)
		if err == nil {
			return address, held.Close()
		}
	}
	return "", eris.Errorf("no free port on %s", ip)
}
