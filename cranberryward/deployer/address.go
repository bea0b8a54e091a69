package deployer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// The range lies below the ephemeral ports of the kernel, so that no outgoing connection takes a port before it is bound.
	minPort      = 10000
	maxPort      = 32000
	portAttempts = 1000
)

// reservations holds, by address, the UDP sockets that reserve the addresses returned by this process.
var reservations sync.Map

// FreeAddress returns an address of the loopback IP whose TCP port was free when probed and that no process returns again while this one runs.
func FreeAddress(ip string) (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("%s:%d", ip, minPort+rand.IntN(maxPort-minPort))
		// The UDP port of the same number is kept, so that another process that looks for addresses passes over this one.
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close() // the address is not used
			continue
		}
		reservations.Store(address, reservation)
		return address, listener.Close()
	}
	return "", eris.Errorf("no free port on %s after %d attempts", ip, portAttempts)
}
