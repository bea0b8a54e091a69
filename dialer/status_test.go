package dialer

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestInvalidStatusIsNoSuccess guards against taking a response whose status is 000, or another below 100, for a success, or its body for a promise that the call has
// not run.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	notRun := `{"error":{"code":"overloaded","message":"busy","verdict":"` + cranberryward.NotRun.String() + `"}}`
	responses := map[string]string{
		"000":                           "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"000 without a reason":          "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\n{}",
		"000 without a body":            "HTTP/1.1 000 Trouble\r\n\r\n",
		"000 that promises":             "HTTP/1.1 000 Trouble\r\n\r\n" + notRun,
		"000 with a response as a body": "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"099":                           "HTTP/1.1 099 Trouble\r\nContent-Length: 2\r\n\r\n{}",
	}
	for name, call := range map[string]func(ctx context.Context, address string) error{
		"a call of a plain service": func(ctx context.Context, address string) error {
			_, err := NewService(address).Call(ctx, cranberryward.ServiceCall{
				RequestID: "one",
				Method:    http.MethodPost,
				Path:      "/book",
			})
			return err
		},
		"a model request": func(ctx context.Context, address string) error {
			return NewEngine(address).Generate(ctx, cranberryward.GenerateRequest{}, func(cranberryward.Frame) error { return nil })
		},
		"an order": func(ctx context.Context, address string) error {
			return NewEngine(address).Order(ctx, cranberryward.Order{})
		},
		"a rank's state": func(ctx context.Context, address string) error {
			_, err := NewEngine(address).RankState(ctx)
			return err
		},
		"a cache to export": func(ctx context.Context, address string) error {
			_, err := NewEngine(address).ExportCache(ctx, "one")
			return err
		},
		"a record": func(ctx context.Context, address string) error {
			_, err := NewKeyValueStore(address).Get(ctx, "one")
			return err
		},
		"a conditional write": func(ctx context.Context, address string) error {
			_, err := NewKeyValueStore(address).CompareAndSwap(ctx, "one", nil, 1, "")
			return err
		},
		"a lease to keep alive": func(ctx context.Context, address string) error {
			return NewKeyValueStore(address).KeepAlive(ctx, "one")
		},
		"a registration": func(ctx context.Context, address string) error {
			return NewInstanceList(address).Register(ctx, cranberryward.Instance{ID: "one"})
		},
		"a list of instances": func(ctx context.Context, address string) error {
			_, err := NewInstanceList(address).List(ctx, "", 0)
			return err
		},
		"weights": func(ctx context.Context, address string) error {
			_, err := NewWeightStore(address).Fetch(ctx, "model", 0, nil)
			return err
		},
	} {
		for responseName, raw := range responses {
			t.Run(name+", "+responseName, func(t *testing.T) {
				t.Parallel()
				server, err := scriptserver.New(func(exchange *scriptserver.Exchange) bool {
					_, _ = io.WriteString(exchange, raw) // the client may close the connection within it
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				if err := call(ctx, server.Address()); err == nil || cranberryward.VerdictOf(err) != cranberryward.MayHaveRun {
					t.Errorf("error %v, expected one that says that the call may have run", err)
				}
			})
		}
	}
}
