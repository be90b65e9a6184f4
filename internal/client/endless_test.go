package client

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/standin/endless"
)

func TestClient_BytesWithoutEnd(t *testing.T) {
	tests := []struct{ name, prefix, pattern string }{
		{"in lines of the header", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"in the body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"in the body of a failure", "HTTP/1.1 401 X\r\n\r\n", " "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			peer, err := endless.Listen(tt.prefix, tt.pattern)
			is.NoErr(err)
			t.Cleanup(peer.Close)
			c, err := New("http://"+peer.Addr(), settings.NewSecret([]byte("key")), &http.Transport{MaxResponseHeaderBytes: 64 << 10}, time.Minute)
			is.NoErr(err)
			_, err = c.VMs(t.Context())
			is.True(err != nil)
			is.True(peer.AwaitClosed(15 * time.Second))
		})
	}
}
