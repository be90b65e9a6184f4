package stand

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case's disruption happens.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// maxTime is the longest time that a case runs.
const maxTime = 117 * time.Second

var (
	fleetsMu sync.Mutex
	fleets   []*Fleet // guarded by fleetsMu; to end if the case is cut off
)

// endAll ends the processes of all fleets.
func endAll() {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	for _, f := range fleets {
		f.End()
	}
}

// watch ends the case if it takes too long or gets a signal.
func watch(record *Record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		record.Add("result: not run: %s", s)
	case <-time.After(maxTime):
		record.Add("result: not run: it took too long")
	}
	endAll()
	os.Exit(NotRun)
}

// Main runs a case and exits with its result. The first argument is the path of the record.
func Main(run func(r *Record) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: CASE RECORD")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	go watch(record)
	broken, err := run(record)
	code, result := Held, "the rule held"
	switch {
	case err != nil:
		code, result = NotRun, "the case could not run: "+err.Error()
	case broken:
		code, result = Broken, "the rule was broken"
	}
	record.Add("result: %s", result)
	fmt.Println(result)
	os.Exit(code)
}
