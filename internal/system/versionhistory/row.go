package versionhistory

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/resumption"
)

// Table is the table of the history: a row for each service, and one that tells from when on the
// history is complete.
const Table = "software_versions"

const servicePrefix = "/service:" // of a service's row

var startKey = platform.Key{Table: Table, ID: "/since"}

func keyOf(service string) platform.Key {
	return platform.Key{Table: Table, ID: servicePrefix + service}
}

// serviceOf returns the service of a row, or false for the row of the start.
func serviceOf(k platform.Key) (string, bool) { return strings.CutPrefix(k.ID, servicePrefix) }

// startRow is the value of the row of the start. Times are those of the store's clock.
type startRow struct {
	SinceMS int64 `json:"since_ms"` // 0 if the history reaches back to the first start of the system
}

// serviceRow is the value of a service's row.
type serviceRow struct {
	Versions []versionRow `json:"versions"`
}

type versionRow struct {
	Version string `json:"version"`
	WaitMS  int64  `json:"wait_ms"`           // longest deadline of the callers of its streams, rounded up
	LeftMS  int64  `json:"left_ms,omitempty"` // absent while it may have endpoints
}

func encodeStart(since time.Duration) ([]byte, error) {
	return json.Marshal(startRow{since.Milliseconds()})
}

func decodeStart(value []byte) (time.Duration, error) {
	var r startRow
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, fmt.Errorf("row of the start: %w", err)
	}
	return time.Duration(r.SinceMS) * time.Millisecond, nil
}

func encodeVersions(versions map[string]record) ([]byte, error) {
	r := serviceRow{Versions: make([]versionRow, 0, len(versions))}
	for version, record := range versions {
		r.Versions = append(r.Versions, versionRow{version, record.wait.Milliseconds(), record.left.Milliseconds()})
	}
	return json.Marshal(r)
}

func decodeVersions(value []byte) (map[string]record, error) {
	var r serviceRow
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("row of a service: %w", err)
	}
	versions := make(map[string]record, len(r.Versions))
	for _, v := range r.Versions {
		wait := resumption.DeadlineClass(time.Duration(v.WaitMS) * time.Millisecond)
		versions[v.Version] = record{wait, time.Duration(v.LeftMS) * time.Millisecond}
	}
	return versions, nil
}
