package httpclient

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/endless"
)

func TestClient_BytesWithoutEnd(t *testing.T) {
	tests := []struct{ name, prefix, pattern string }{
		{"that are no response", "", "x"},
		{"in lines of the header", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"in the body", "HTTP/1.1 200 OK\r\n\r\n", " "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			peer, err := endless.Listen(tt.prefix, tt.pattern)
			is.NoErr(err)
			t.Cleanup(peer.Close)
			c := New(Options{BaseURL: "http://" + peer.Addr(), MaxAttempts: 1, Timeout: 10 * time.Second})
			defer c.Close()
			_, err = c.Scan(context.Background(), "t", "", "", 1)
			is.True(err != nil)
			is.True(peer.AwaitClosed(15 * time.Second))
		})
	}
}
