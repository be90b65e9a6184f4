package endpoint_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/endless"
)

// closeTimeout bounds the wait for connections to close.
const closeTimeout = 15 * time.Second

func TestServiceClient_BytesWithoutEnd(t *testing.T) {
	tests := []struct{ name, prefix, pattern string }{
		{"that are no response", "", "x"},
		{"in a line of the header", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"in lines of the header", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"in interim answers", "", "HTTP/1.1 103 X\r\n\r\n"},
		{"in the body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"in chunks of the body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"in the body of a failure", "HTTP/1.1 500 X\r\n\r\n", "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			peer, err := endless.Listen(tt.prefix, tt.pattern)
			is.NoErr(err)
			t.Cleanup(peer.Close)
			pool := endpoint.NewPool(&http.Transport{}, endpoint.Options{MaxResponseBytes: 1 << 20})
			_, err = pool.ServiceClient(entity.Endpoint{URL: "http://" + peer.Addr()}).Call(t.Context(), deposit("c-1", "a-1"))
			is.True(errors.Is(err, endpoint.ErrUnanswered) || errors.Is(err, endpoint.ErrMismatch))
			is.True(peer.AwaitClosed(closeTimeout))
		})
	}
}

func TestEngineClient_ChatWithBytesWithoutEnd(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	tests := []struct{ name, prefix, pattern string }{
		{"that are no response", "", "x"},
		{"in lines of the header", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"in an event", stream + "data: ", "x"},
		{"in events that are no chunks", stream, "data: x\n\n"},
		{"in comments", stream, ": x\n"},
		{"in the body of a failure", "HTTP/1.1 500 X\r\n\r\n", "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			peer, err := endless.Listen(tt.prefix, tt.pattern)
			is.NoErr(err)
			t.Cleanup(peer.Close)
			pool := endpoint.NewPool(&http.Transport{}, endpoint.Options{MaxResponseBytes: 1 << 20, MaxResumes: 1, SilenceTimeout: time.Second})
			rec := &recorder{t: t}
			_, err = pool.EngineClient(entity.Endpoint{URL: "http://" + peer.Addr()}).Chat(t.Context(), chatRequest("c-1", "x"), rec.record)
			is.True(err != nil)
			is.True(peer.AwaitClosed(closeTimeout))
		})
	}
}
