package relayer

import (
	"errors"
	"net"
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
