package acceptor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/reserver"
	"github.com/go-kit/log"
)

func limits() Limits {
	return Limits{
		HeaderBytes:   64 << 10,
		HeaderTimeout: time.Minute,
		IdleTimeout:   time.Minute,
	}
}

func TestLimit(t *testing.T) {
	for name, test := range map[string]struct {
		memoryMB              int64
		descriptors, expected int
	}{
		"by memory":                       {96, 0, 512},
		"by descriptors":                  {96, 512, 124},
		"more descriptors than memory":    {184, 8192, 981},
		"almost no descriptors":           {96, 100, minConnections},
		"as many as a real machine gives": {536, 4100, 1918},
	} {
		t.Run(name, func(t *testing.T) {
			if limit := Limit(test.memoryMB<<20, test.descriptors); limit != test.expected {
				t.Errorf("%d connections, expected %d", limit, test.expected)
			}
		})
	}
}

// connect returns both ends of a new connection of a caller.
func connect(t *testing.T, acceptor *Acceptor) (sender, admitted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sender, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return sender, acceptor.Admit(accepted)
}

// TestHeadsTakeMemory guards against heads that are held without any bound on their sum.
func TestHeadsTakeMemory(t *testing.T) {
	memory := reserver.New(32 << 20)
	connections := New(memory, 1000, limits, func(string) {}, log.NewNopLogger())
	refused := 0
	for range 200 {
		sender, connection := connect(t, connections)
		io.WriteString(sender, strings.Repeat("x", 60<<10))
		if _, err := io.ReadFull(connection, make([]byte, 60<<10)); err != nil {
			refused++
		}
	}
	if refused == 0 || memory.Used() > memory.Limit() {
		t.Errorf("%d heads were refused, %d bytes are held of %d", refused, memory.Used(), memory.Limit())
	}
}

// TestHeadTakesItsMemory guards against heads that are held as far more than is taken for them: each short field costs more than its bytes (review/9).
func TestHeadTakesItsMemory(t *testing.T) {
	const maxHeadBytes = 16 << 10
	for name, field := range map[string]func(number int) string{
		"one long field":           func(int) string { return "a: " + strings.Repeat("x", maxHeadBytes/2) },
		"long fields":              func(number int) string { return fmt.Sprintf("a%d: %s", number, strings.Repeat("x", 100)) },
		"short fields":             func(number int) string { return strconv.FormatInt(int64(number), 36) + ":" },
		"short fields with values": func(number int) string { return strconv.FormatInt(int64(number), 36) + ":1" },
		"one field many times":     func(int) string { return "a:" },
	} {
		t.Run(name, func(t *testing.T) {
			for headBytes := 1 << 10; headBytes <= maxHeadBytes; headBytes += headBytes / 4 { // a map grows in steps
				var head strings.Builder
				head.WriteString("GET / HTTP/1.1\r\nHost: front.example\r\n")
				for number := 0; head.Len() < headBytes; number++ {
					head.WriteString(field(number) + "\r\n")
				}
				head.WriteString("\r\n")
				if held, taken := holdHeads(t, head.String()); held > taken {
					t.Errorf("a head of %d bytes is held as %d bytes, and %d are taken for it", head.Len(), held, taken)
				}
			}
		})
	}
}

// holdHeads holds heads as net/http does, and returns how many bytes are held and taken for each.
func holdHeads(t *testing.T, head string) (held, taken int64) {
	const heads = 20
	memory := reserver.New(1 << 30)
	connections := New(memory, heads, limits, func(string) {}, log.NewNopLogger())
	requests := make([]*http.Request, heads)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range requests {
		sender, connection := connect(t, connections)
		io.WriteString(sender, head)
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			t.Fatal(err)
		}
		requests[i] = request
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(requests)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / heads, memory.Used()/heads + connectionBytes
}

// TestRefusedHeadIsNotReadOn guards against a head that is read on behind the part that found no memory: net/http looks ahead for the next line and ignores the first error there, and
// the request would be served without that part.
func TestRefusedHeadIsNotReadOn(t *testing.T) {
	memory := reserver.New(1 << 20)
	var others []*reserver.Reservation
	for other := memory.Reserve(); other.TakeForRequest(1 << 10); other = memory.Reserve() {
		others = append(others, other)
	}
	connections := New(memory, 1, limits, func(string) {}, log.NewNopLogger())
	sender, connection := connect(t, connections)
	part := make([]byte, 4<<10)
	io.WriteString(sender, strings.Repeat("x", 3*len(part)))
	if _, err := io.ReadFull(connection, part); err != nil {
		t.Fatal(err)
	}
	if n, err := connection.Read(part); n > 0 || err == nil {
		t.Fatalf("%d bytes are read of a head that finds no memory, error %v", n, err)
	}
	for _, other := range others {
		other.Close()
	}
	if n, err := connection.Read(part); n > 0 || err == nil {
		t.Errorf("%d bytes are read behind a head that found no memory, error %v", n, err)
	}
	if _, err := io.WriteString(connection, "HTTP/1.1 400 Bad Request\r\n\r\n"); err == nil {
		t.Error("the caller is told that its request is wrong")
	}
}

// TestWriteAfterALongOne guards against a deadline that ends a slow write just as it was done, and then the next answer too.
func TestWriteAfterALongOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	reader, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	go io.Copy(io.Discard, reader)
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	connection := New(&reserver.Reserver{}, 1, limits, func(string) {}, log.NewNopLogger()).Admit(accepted)
	for i := range 2 {
		if _, err := connection.Write(make([]byte, 4*writePart)); err != nil {
			t.Errorf("write %d: %v", i, err)
		}
		_ = connection.SetWriteDeadline(time.Now()) // what ends a slow write
	}
}

// TestRefusalsAreCountedAndLogged guards against connections that are closed without a trace, and against a line for each of them.
func TestRefusalsAreCountedAndLogged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var lines bytes.Buffer
	counts := map[string]int{}
	acceptor := New(&reserver.Reserver{}, 2, limits, func(reason string) { counts[reason]++ }, log.NewLogfmtLogger(&lines))
	for number := range 6 {
		sender, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer sender.Close()
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		if admitted := acceptor.Admit(accepted); number >= 2 && admitted != nil {
			admitted.(*connection).beginHandling() // it does not give way any more
		}
	}
	if counts["gave_way"] != 2 || counts["too_many"] != 2 || strings.Count(lines.String(), "event=connection_refused") != 2 {
		t.Errorf("counted %v, logged %s", counts, lines.String())
	}
}

// TestHeadOnAKeptConnectionTakesItsTime guards against a head that gets the idle time: one that has arrived in part with the request before, or in several parts.
func TestHeadOnAKeptConnectionTakesItsTime(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: front.example\r\n\r\n"
	for name, parts := range map[string][]string{
		"with the request before":            {request + "GET / HTTP/1.1\r\nHo"},
		"in parts":                           {request, "GET / HT", "TP/1.1\r\n", "Host: fr"},
		"in parts, with the request before":  {request + "GET / HT", "TP/1.1\r\n", "Host: fr"},
		"byte by byte":                       {request, "G", "E", "T", " ", "/"},
		"in parts, with the second one kept": {request + request + "GET / HT", "TP/1.1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			open, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{
				Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
				ReadHeaderTimeout: time.Minute,
				IdleTimeout:       time.Minute,
			}
			acceptor := New(&reserver.Reserver{}, 16, func() Limits {
				return Limits{
					HeaderBytes:   64 << 10,
					HeaderTimeout: 300 * time.Millisecond,
					IdleTimeout:   10 * time.Second,
				}
			}, func(string) {}, log.NewNopLogger())
			acceptor.Bound(server)
			go server.Serve(acceptor.Listen(open))
			defer server.Close()
			connection, err := net.Dial("tcp", open.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			for _, part := range parts {
				io.WriteString(connection, part)
				time.Sleep(20 * time.Millisecond)
			}
			_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := io.ReadAll(connection)
			if err != nil || !bytes.HasPrefix(response, []byte("HTTP/1.1 200")) {
				t.Errorf("read %q, error %v, expected an answer and the end within 5 s", response, err)
			}
		})
	}
}

// TestHeadArrivesBeforeItsConnectionGivesWay guards against a connection that gives way when its request is whole, and whose request is cancelled then.
func TestHeadArrivesBeforeItsConnectionGivesWay(t *testing.T) {
	acceptor := New(&reserver.Reserver{}, 1, limits, func(string) {}, log.NewNopLogger())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cancelled := make(chan error, 1)
	server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		time.Sleep(100 * time.Millisecond)
		cancelled <- request.Context().Err()
	})}
	acceptor.Bound(server)
	state := server.ConnState
	server.ConnState = func(connected net.Conn, changed http.ConnState) {
		state(connected, changed)
		if changed == http.StateActive { // the head is read, the handler has not begun
			if _, gaveWay := acceptor.add(&connection{address: "other"}); gaveWay != nil {
				t.Error("a connection with a whole request gave way")
			}
		}
	}
	go server.Serve(acceptor.Listen(listener))
	defer server.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if err := <-cancelled; err != nil {
		t.Errorf("the request of a present caller was cancelled: %v", err)
	}
}
