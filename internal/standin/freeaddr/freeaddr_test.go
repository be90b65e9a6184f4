package freeaddr

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A process could not listen when two of its addresses had the same port: the
// kernel assigned a port again that had been closed after its discovery. With so
// many addresses that happens in almost every run.
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
