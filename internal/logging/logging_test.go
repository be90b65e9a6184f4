package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

func TestNew_WritesJSONLinesWithTheKeysOfTheVocabulary(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := New(&out, "info", "amman-a-1", "amman-a")
	is.NoErr(err)
	log.Debug("not written")
	log.Named("journal").Warn("write failed", tag.Program("amman-a.p1"), tag.Duration(1500*time.Millisecond), tag.Error(errors.New("broken")))
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // one line only
	for key, want := range map[string]any{
		"level": "warn", "component": "journal", "message": "write failed", "vm": "amman-a-1", "dc": "amman-a",
		"program": "amman-a.p1", "duration_seconds": 1.5, "error": "broken",
	} {
		is.Equal(line[key], want)
	}
	_, err = time.Parse(time.RFC3339, line["time"].(string))
	is.NoErr(err)
}

func TestNew_SamplesRepeats(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := New(&out, "info", "vm", "dc")
	is.NoErr(err)
	const repeats = 1000
	for range repeats {
		log.Info("platform unreachable")
	}
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	is.True(lines >= samplingFirst && lines < repeats/5)
	log.Info("another message")
	is.True(bytes.Contains(out.Bytes(), []byte("another message")))
}

func TestNew_RejectsAnUnknownLevel(t *testing.T) {
	is := is.New(t)
	_, err := New(&bytes.Buffer{}, "loud", "vm", "dc")
	is.True(err != nil)
}
