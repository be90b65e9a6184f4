package httpcheck

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrUpgraded means that the peer switched to another protocol, which no request asks for.
var ErrUpgraded = errors.New("peer switched protocols")

// Status codes are those from http.StatusContinue to this one (RFC 9110, section 15).
const maxStatus = 599

// Status returns an error unless a status code is one of HTTP. net/http accepts any three characters
// that are an integer of zero or more.
func Status(code int) error {
	if code < http.StatusContinue || code > maxStatus {
		return fmt.Errorf("response has the invalid status code %d", code)
	}
	return nil
}
