package stage

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	begun time.Time

	mutex sync.Mutex
	file  *os.File
}

// NewRecord returns a record that replaces the file at the path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "create the record")
	}
	return &Record{
		begun: time.Now(),
		file:  file,
	}, nil
}

// Add appends a line with the time since the beginning.
func (record *Record) Add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (record *Record) Close() error { return record.file.Close() }
