package idlerelease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
)

func TestRelease(t *testing.T) {
	cfg := Config{HighWatermark: 0.6, LowWatermark: 0.4, MaxIdle: time.Minute}
	session := func(name string, tokens int64, idle time.Duration) Session {
		return Session{Program: entity.ProgramID(name), Tokens: tokens, Idle: idle}
	}
	cases := []struct {
		name     string
		sessions []Session
		want     string
	}{
		{"nothing is released while there is room", []Session{session("a", 500, time.Second)}, "[]"},
		{"a program that has been away for long is released", []Session{session("a", 10, time.Hour)}, "[a]"},
		{"a full engine releases the longest idle first", []Session{
			session("a", 300, 2*time.Second), session("b", 300, 9*time.Second), session("c", 300, 5*time.Second),
		}, "[b c]"},
		{"a program with a running call keeps its memory", []Session{session("a", 900, 0)}, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fmt.Sprint(SelectReleases(cfg, c.sessions, 1000)), c.want)
		})
	}
}
