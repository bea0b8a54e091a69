package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

const (
	// answerBytes is the length of the body of an unframed answer, and answerPause is how long the server works between its two halves.
	answerBytes = 800
	answerPause = time.Second
)

// serveChild runs a backend server in this process, which its parent kills: it answers without a length and without chunks, and ends its answers by closing the
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
	attempt := request.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\nConnection: close\r\n"
	if expected := request.Header.Get("X-Expected-Instance"); expected != id {
		fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	}
	fmt.Println("run", attempt)
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%sX-Response-Signature: signed.%s\r\nContent-Type: text/plain\r\n\r\n", head, attempt)
	fmt.Fprint(connection, wholeBody(attempt)[:answerBytes/2])
	time.Sleep(answerPause)
	fmt.Fprint(connection, wholeBody(attempt)[answerBytes/2:])
	fmt.Println("answered", attempt)
}

// wholeBody returns the body of the answer to an attempt.
func wholeBody(attempt string) string {
	return strings.Repeat(attempt+".", answerBytes/len(attempt)+1)[:answerBytes]
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

// register writes the registration of the backend server.
func (child *child) register(service string, born int64) {
	child.stage.put("servers/"+child.id, map[string]any{
		"Service":         service,
		"Address":         child.stage.address(child.number, serverPort),
		"Zone":            zone(child.number),
		"Version":         "v1",
		"Slots":           6,
		"State":           "ready",
		"ColdRemainingMs": 0,
		"Sequence":        1,
		"born":            born,
	})
}

func (child *child) kill() {
	_ = child.command.Process.Kill() // fails if it has ended
	<-child.exited
}
