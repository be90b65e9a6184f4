// Command standins-2 plays the cases 6 to 10 of the review: it starts VMs of the project as
// processes of their own beside stand-ins for the platform's store, the runners and the callers,
// and judges what the callers and the runners see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// maxTime is the longest time of a case.
const maxTime = 118 * time.Second

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// setup is what all cases have.
type setup struct {
	dir     string
	record  *record
	store   *store
	vms     []*vm
	engines []*runner
	trouble bool
}

var current *setup

// finish ends all processes and the case.
func finish(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	if current != nil {
		for _, v := range current.vms {
			v.kill()
		}
		current.record.line("result %d: %s", code, text)
		current.record.file.Close()
		if os.Getenv("KEEP_LOGS") == "" {
			os.RemoveAll(current.dir)
		} else {
			fmt.Println("logs are in", current.dir)
		}
	}
	os.Exit(code)
}

// check ends a case that can't run.
func check(err error, what string) {
	if err != nil {
		finish(notRun, "not run: %s: %v", what, err)
	}
}

// Times from the start of the VMs to that of traffic, as the pages give them.
const (
	smallLead = 10 * time.Second
	grownLead = 14 * time.Second
)

// startVMs starts VMs in zones and waits until traffic starts. All are ready by then.
func (c *setup) startVMs(zones []string, perZone []int, bounds map[string]any, lead time.Duration) {
	began := time.Now()
	n := 0
	for i, zone := range zones {
		for range perZone[i] {
			n++
			c.vms = append(c.vms, newVM(c.dir, c.record, c.store, zones, zone, n, bounds))
		}
	}
	for _, v := range c.vms {
		v.start()
	}
	c.waitReady(lead)
	time.Sleep(time.Until(began.Add(lead)))
}

func (c *setup) waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, v := range c.vms {
			all = all && v.ready()
		}
		if all {
			c.record.line("all VMs are ready")
			return
		}
		if time.Now().After(end) {
			finish(notRun, "not run: the VMs were not ready in time")
		}
	}
}

var cases = map[string]func(*setup){
	"without-history": withoutHistory,
	"new-route":       newRoute,
	"lost-turn":       lostTurn,
	"wrong-grant":     wrongGrant,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(notRun)
	}
	play, folder := cases[os.Args[1]], os.Args[2]
	dir, err := os.MkdirTemp("", "review-")
	check(err, "make a temporary folder")
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err, "open the record")
	current = &setup{
		dir: dir, record: &record{file: file, began: time.Now()}, store: newStore(), trouble: os.Getenv("TROUBLE") != "0",
	}
	time.AfterFunc(maxTime, func() { finish(notRun, "not run: the case took too long") })
	current.record.line("case %s, trouble %v", os.Args[1], current.trouble)
	play(current)
}
