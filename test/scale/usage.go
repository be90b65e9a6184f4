package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second. /proc/PID/stat has CPU times
// in clock ticks.
const ticksPerSecond = 100

// usage is the resource usage of a process since its start.
type usage struct {
	cpu          time.Duration // user and system time
	rss          int64         // current resident set size, in bytes
	bytesRead    int64         // by read(2): files and TCP, not datagrams
	bytesWritten int64         // by write(2): files and TCP, not datagrams
	writeCalls   int64         // calls of write(2)
	switches     int64         // voluntary context switches of all threads
}

// usageOf reads the usage of a process from /proc.
func usageOf(p *process) (usage, error) {
	var u usage
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return u, err
	}
	// The indexes count the fields after the command name, which ends with the
	// last closing parenthesis; see proc_pid_stat(5).
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const utime, stime, rss = 11, 12, 21
	ticks := parseNumber(fields[utime]) + parseNumber(fields[stime])
	u.cpu = time.Duration(ticks) * time.Second / ticksPerSecond
	u.rss = parseNumber(fields[rss]) * int64(os.Getpagesize())
	values, err := readNumbers(filepath.Join(dir, "io"))
	if err != nil {
		return u, err
	}
	u.bytesRead, u.bytesWritten, u.writeCalls = values["rchar"], values["wchar"], values["syscw"]
	tasks, err := filepath.Glob(filepath.Join(dir, "task", "*", "status"))
	if err != nil {
		return u, err
	}
	for _, task := range tasks {
		if values, err := readNumbers(task); err == nil { // the thread may have exited
			u.switches += values["voluntary_ctxt_switches"]
		}
	}
	return u, nil
}

func parseNumber(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64) // 0 if s is not a number
	return n
}

// readNumbers reads a file with lines "key: number".
func readNumbers(file string) (map[string]int64, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	out := make(map[string]int64)
	for line := range strings.Lines(string(data)) {
		if key, value, ok := strings.Cut(line, ":"); ok {
			out[key] = parseNumber(strings.TrimSpace(value))
		}
	}
	return out, nil
}

// sockets returns the number of open sockets of a process, or 0 if it can't be read.
func sockets(p *process) int {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	n := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// metrics returns the metrics of a VM by name and labels, or nil if the request fails.
func (f *fleet) metrics(p *process) map[string]float64 {
	resp, err := f.client.Get("http://" + p.admin + "/metrics")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	out := make(map[string]float64)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out
}

// sample is a snapshot of the usage and metrics of the fleet.
type sample struct {
	at            time.Time
	usage         map[*process]usage
	metrics       map[*process]map[string]float64
	reads, writes int64 // requests that the platform has received since its start
}

// sample takes a sample of all VMs. It fails if the usage of a VM can't be read.
func (f *fleet) sample() (sample, error) {
	s := sample{usage: make(map[*process]usage), metrics: make(map[*process]map[string]float64)}
	for _, p := range f.vms {
		s.metrics[p] = f.metrics(p)
	}
	s.at = time.Now()
	for _, p := range f.vms {
		u, err := usageOf(p)
		if err != nil {
			return s, fmt.Errorf("usage of %s: %w", p.id, err)
		}
		s.usage[p] = u
	}
	c := f.platform.Counters()
	s.reads, s.writes = c.Reads, c.Writes
	return s, nil
}

// sampleAround takes samples before and after it runs a function, and returns both.
func (f *fleet) sampleAround(run func() error) (before, after sample, err error) {
	if before, err = f.sample(); err != nil {
		return before, after, err
	}
	if err = run(); err != nil {
		return before, after, err
	}
	after, err = f.sample()
	return before, after, err
}

// pause waits for d or until ctx is cancelled.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
