package streams

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkMemory measures what a witness does for a record and holds for it.
func BenchmarkMemory(b *testing.B) {
	attempts := make([]string, maxGeneration-1)
	for i := range attempts {
		attempts[i] = fmt.Sprintf("%016x", i)
	}
	var m memory
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, a := range attempts {
		m.put(Record{Service: testService, Attempt: a, Version: "v1"}, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(attempts))
	i := 0
	for b.Loop() {
		m.put(Record{Service: testService, Attempt: attempts[i%len(attempts)], Version: "v1"}, time.Duration(i))
		i++
	}
	b.ReportMetric(held, "bytes/record")
	b.ReportMetric(float64(encodedSize(b)), "bytes/message")
}

// encodedSize returns the size of a message with one record.
func encodedSize(b *testing.B) int {
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	for range 2 { // the first one describes the type
		encoded.Reset()
		if err := encoder.Encode([]Record{{testService, "0123456789abcdef", "v1.2", 3 * time.Second}}); err != nil {
			b.Fatal(err)
		}
	}
	return encoded.Len()
}
