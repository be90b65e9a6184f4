package httpcheck

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

var errName = errors.New("response has a field whose name is no token")

// Names returns an error if a name of a field is no token (RFC 9110, section 5.1). net/http accepts
// blanks in names; one before the colon hides a framing from it.
func Names(h http.Header) error {
	for name := range h {
		if strings.ContainsFunc(name, func(r rune) bool { return !isToken(r) }) {
			return fmt.Errorf("%w: %.80q", errName, name)
		}
	}
	return nil
}

// isToken reports whether a character may be part of a token (RFC 9110, section 5.6.2).
func isToken(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// CheckTrailer makes the body of a response in chunks end with an error if the name of a field in its
// trailer is no token.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerBody{resp.Body, resp}
	}
}

// trailerBody is the body of a response. It checks the trailer once that was read.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := Names(b.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
