package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	// streamEvents is the mean number of events of popis-jadra on the site jadro-brno-grown, eventBytes the length of one, and eventPause the time between two.
	streamEvents = 23
	eventBytes   = 85
	eventPause   = 80 * time.Millisecond
)

// serveChild runs a backend server in this process, which its parent kills: it sends streams without a length and without chunks, and ends them by closing the
// connection, as the news pages allow.
func serveChild(address, id string) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rehearser:", err)
		return exitFailed
	}
	fmt.Println("listening")
	for {
		connection, err := listener.Accept()
		if err != nil {
			return exitFailed
		}
		go serveUnframed(connection, id)
	}
}

func serveUnframed(connection net.Conn, id string) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return // nothing was sent on it
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the request is not whole
	}
	attempt := request.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\nConnection: close\r\n"
	if expected := request.Header.Get("X-Expected-Instance"); expected != id {
		fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	}
	fmt.Println("run", attempt)
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sX-Response-Signature: signed.%s\r\nContent-Type: text/event-stream\r\n\r\n", head, attempt)
	for number := range streamEvents {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(connection, "id: %d\ndata: %s\n\n", number+1, strings.Repeat("x", eventBytes)); err != nil {
			return // the caller has left
		}
	}
	fmt.Println("answered", attempt)
}

// child is a backend server in a process of its own.
type child struct {
	stage   *stage
	id      string
	number  int
	command *exec.Cmd
	exited  chan struct{}
}

// startChild starts a backend server in a process of its own, and waits until it listens.
func (stage *stage) startChild(id string, number int) (*child, error) {
	command := exec.Command(os.Args[0], "serve", stage.address(number, serverPort), id)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none may outlive this program
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	child := &child{
		stage:   stage,
		id:      id,
		number:  number,
		command: command,
		exited:  make(chan struct{}),
	}
	scanner := bufio.NewScanner(output)
	if !scanner.Scan() {
		return nil, fmt.Errorf("backend server %s does not start", id)
	}
	go func() {
		for scanner.Scan() {
			stage.record.line("%s: %s", id, scanner.Text())
		}
		_ = command.Wait() // it was killed
		close(child.exited)
	}()
	stage.record.line("%s listens", id)
	return child, nil
}

// keepRegistered registers the backend server now and with each heartbeat until it ends.
func (child *child) keepRegistered(ctx context.Context, service string) {
	born, sequence := time.Now().UnixMilli(), 0
	register := func() {
		select {
		case <-child.exited:
			return
		default:
		}
		sequence++
		child.stage.put("servers/"+child.id, map[string]any{
			"Service":         service,
			"Address":         child.stage.address(child.number, serverPort),
			"Zone":            zone(child.number),
			"Version":         "v1",
			"Slots":           10,
			"State":           "ready",
			"ColdRemainingMs": 0,
			"Sequence":        sequence,
			"born":            born,
		})
	}
	register()
	child.stage.every(ctx, heartbeatInterval, register)
}

func (child *child) kill() {
	_ = child.command.Process.Kill() // fails if it has ended
	<-child.exited
}
