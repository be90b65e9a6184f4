package forwarder

import "testing"

func FuzzEventOrder(f *testing.F) {
	for _, s := range []string{"id: 1\ndata: a\n\n", "id: -1\r\n\r\nid: 99999999999999999999\r\n\r\n", ":\n\nid:\n\n", "\r\r\n\n\r", "id: 2\n\nid: 2\n\n"} {
		f.Add([]byte(s), "1", true)
		f.Add([]byte(s), "", false)
	}
	f.Fuzz(func(t *testing.T, b []byte, last string, resumed bool) {
		o := eventOrder{last: last}
		if resumed {
			o.resume()
		}
		block, _ := o.take(b) // the error says that an event may not come
		if block.length < 0 || block.length > len(b) || block.events > block.length {
			t.Errorf("took %+v of %d bytes", block, len(b))
		}
	})
}
