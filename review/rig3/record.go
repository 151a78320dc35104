package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run into record.txt of the case's folder.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// newRecord creates record.txt in a folder.
func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: f, began: time.Now()}, err
}

// line writes one line with the time since the start.
func (r *record) line(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, a...)...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, a ...any) {
	r.line(format, a...)
	fmt.Printf("%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, a...)...)
}
