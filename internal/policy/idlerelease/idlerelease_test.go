package idlerelease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
)

func TestSelectReleases(t *testing.T) {
	cfg := Config{HighWatermark: 0.6, LowWatermark: 0.4, MaxIdle: time.Minute}
	session := func(name string, tokens int64, idle time.Duration) Session {
		return Session{Program: entity.ProgramID(name), Tokens: tokens, Idle: idle}
	}
	cases := []struct {
		name     string
		sessions []Session
		want     string
	}{
		{"nothing is released below the high watermark", []Session{session("a", 500, time.Second)}, "[]"},
		{"a program that is idle for more than the maximum is released", []Session{session("a", 10, time.Hour)}, "[a]"},
		{"above the high watermark the longest idle are released first", []Session{
			session("a", 300, 2*time.Second), session("b", 300, 9*time.Second), session("c", 300, 5*time.Second),
		}, "[b c]"},
		{"a program with a running call is not released", []Session{session("a", 900, 0)}, "[]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fmt.Sprint(SelectReleases(cfg, c.sessions, 1000)), c.want)
		})
	}
}
