package freeaddr

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestOn_AddressesAreDifferentAndFree guards against closing each port before
// looking for the next one: the kernel may then assign the same port again, and a
// process with two equal addresses can't listen on the second. Among 500
// addresses that happens in almost every run.
func TestOn_AddressesAreDifferentAndFree(t *testing.T) {
	is := is.New(t)
	addrs, err := On("127.0.3.1", 500)
	is.NoErr(err)
	is.Equal(len(addrs), 500)
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		is.NoErr(err)
		defer l.Close()
	}
}

func TestOn_AForeignIPAddressIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := On("192.0.2.1", 1)
	is.True(err != nil)
}
