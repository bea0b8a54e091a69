package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
)

const dialTimeout = time.Second

// Client calls peers by address and keeps one connection open to each.
type Client struct {
	key         string
	mutex       sync.Mutex
	connections map[string]*rpc.Client
	received    atomic.Int64
	sent        atomic.Int64
}

// NewClient returns a client that authenticates with the shared key.
func NewClient(key string) *Client {
	return &Client{
		key:         key,
		connections: map[string]*rpc.Client{},
	}
}

// Traffic returns the bytes received and sent since the start.
func (client *Client) Traffic() (received, sent int64) {
	return client.received.Load(), client.sent.Load()
}

// Call calls a method of the peer at the address and sets the value that reply points to, unless it returns an error; a failure says whether the call
// may have run.
func (client *Client) Call(ctx context.Context, address, method string, request, reply any) error {
	peer, err := client.connect(ctx, address)
	if err != nil {
		return err
	}
	// The reply is decoded into memory of the call's own, because a reply to an abandoned call may be decoded after Call has returned.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := peer.Go(method, request, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return client.callError(address, peer, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The connection may have gone silent for good, which only a time-out shows.
			client.drop(address, peer)
		}
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonDeadline, "call of "+method+" was not answered in time").WithCause(ctx.Err())
	}
}

func (client *Client) callError(address string, peer *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(err, &serverError) {
		return decodeError(string(serverError))
	}
	client.drop(address, peer)
	verdict := cranberryward.MayHaveRun
	if errors.Is(err, rpc.ErrShutdown) {
		verdict = cranberryward.NotRun
	}
	return cranberryward.NewFailure(verdict, cranberryward.ReasonUnreachable, "connection to "+address+" was lost").WithCause(err)
}

func (client *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	client.mutex.Lock()
	peer := client.connections[address]
	client.mutex.Unlock()
	if peer != nil {
		return peer, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		err = clientHandshake(ctx, connection, client.key)
	}
	if err != nil {
		if connection != nil {
			_ = connection.Close()
		}
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "no connection to "+address).WithCause(err)
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if other := client.connections[address]; other != nil {
		_ = connection.Close()
		return other, nil
	}
	peer = rpc.NewClientWithCodec(newCodec(&countingConn{
		Conn:     connection,
		received: &client.received,
		sent:     &client.sent,
	}))
	client.connections[address] = peer
	return peer, nil
}

func (client *Client) drop(address string, peer *rpc.Client) {
	client.mutex.Lock()
	if client.connections[address] == peer {
		delete(client.connections, address)
	}
	client.mutex.Unlock()
	_ = peer.Close()
}

// Close closes every connection.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for address, peer := range client.connections {
		_ = peer.Close()
		delete(client.connections, address)
	}
}

// EncodeError returns an error whose verdict and reason survive an RPC.
func EncodeError(err error) error {
	if err == nil {
		return nil
	}
	text, _ := json.Marshal(cranberryward.NewErrorMessage(err, ""))
	return rpc.ServerError(text)
}

func decodeError(text string) error {
	var message cranberryward.ErrorMessage
	if json.Unmarshal([]byte(text), &message) == nil && message.Error.Code != "" {
		return message.Failure()
	}
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonInternal, text)
}
