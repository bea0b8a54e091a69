package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	begun  time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:   file,
		writer: bufio.NewWriter(file),
		begun:  time.Now(),
	}, nil
}

// line writes a line with the seconds since the begin.
func (record *record) line(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%8.3f "+format+"\n", append([]any{time.Since(record.begun).Seconds()}, values...)...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush() // the exit status tells the result
	_ = record.file.Close()
}
