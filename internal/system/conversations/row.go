package conversations

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/platform"
)

const (
	// rowFormat is the first byte of each row.
	rowFormat = 1
	// maxAncestors bounds the ancestors that a turn names. Those before them are named by the
	// oldest of these.
	maxAncestors = 64
	// defaultRowBytes is the largest value of a row if the settings name none.
	defaultRowBytes = 64 << 10
	// Limits of one transaction, of the value bytes before their encoding.
	maxTransactionRows  = 90
	maxTransactionBytes = 600 << 10
	// partSeparator is in the names of parts only.
	partSeparator = "."
	// partHeaderBytes is the length of what comes before the data of a part: when it expires.
	partHeaderBytes = 8
	// turnOverhead is the memory that a turn takes beside its data and the ids in it.
	turnOverhead = 256
)

// turn is what is stored of a turn. It is immutable.
type turn struct {
	written   time.Duration // time of the table service when the turn was kept
	retention time.Duration
	// chainExpires is the time of the table service from which on a row of the conversation may
	// be deleted.
	chainExpires time.Duration
	digest       uint64 // of input and output
	total        int64  // bytes of the conversation up to and with this turn
	ancestors    []id   // those whose data comes before this turn's, oldest first
	data         []byte // input and output, after those of all turns that aren't among the ancestors
	// short says that data lacks that of the previous turn, although the row has it. Such a turn
	// is in memory only.
	short    bool
	previous id
}

// predecessor returns the turn whose data comes right before this turn's.
func (t *turn) predecessor() (id, bool) {
	if n := len(t.ancestors); n > 0 && !t.short {
		return t.ancestors[n-1], true
	}
	return t.previous, t.short
}

// without returns the turn without the first bytes of its data, which are those of the previous
// turn.
func (t *turn) without(bytes int) *turn {
	if bytes == 0 {
		return t
	}
	short := *t
	short.short, short.data = true, slices.Clone(t.data[bytes:])
	return &short
}

// size returns the memory that the turn takes.
func (t *turn) size() int64 { return int64(cap(t.data) + len(t.ancestors)*len(id{}) + turnOverhead) }

// digest tells turns of the same name apart.
func digest(t Turn) uint64 {
	d := xxhash.New()
	var lengths [16]byte
	binary.BigEndian.PutUint64(lengths[:8], uint64(len(t.Input)))
	binary.BigEndian.PutUint64(lengths[8:], uint64(len(t.Output)))
	_, _ = d.Write(lengths[:]) // writing to a hash never fails
	if t.History != nil {
		_, _ = d.Write(t.History.last[:])
	}
	_, _ = d.Write(t.Input)
	_, _ = d.Write(t.Output)
	return d.Sum64()
}

// partKey returns the key of a part of a turn's data at its n-th location. It depends on the
// content, so that parts of different turns of the same name don't mix.
func partKey(i id, n int, digest uint64, part int) platform.Key {
	var d [8]byte
	binary.BigEndian.PutUint64(d[:], digest)
	return platform.Key{Table: Table, ID: i.partition(n) + "/" + i.String() + partSeparator + hex.EncodeToString(d[:]) + partSeparator + strconv.Itoa(part)}
}

// valueLimit returns the largest length of a row's value, whether the limit is one of the encoded
// value or of its bytes.
func valueLimit(rowBytes int) int { return cmp.Or(max(0, rowBytes), defaultRowBytes) / 4 * 3 }

// countParts returns the number of parts that a turn with an encoded head is written in, 0 if its
// row has room for its data.
func countParts(head []byte, t *turn, limit int) int {
	if len(head)+1+len(t.data) <= limit {
		return 0
	}
	size := limit - partHeaderBytes
	return (len(t.data) + size - 1) / size
}

// rowKeys returns the keys of the rows that a turn is written in at its n-th location.
func rowKeys(i id, n int, t *turn, rowBytes int) []platform.Key {
	var keys []platform.Key
	for part := range countParts(encodeHead(t), t, valueLimit(rowBytes)) {
		keys = append(keys, partKey(i, n, t.digest, part))
	}
	return append(keys, i.rowKey(n))
}

// encodeHead returns the start of a turn's row, up to the number of parts.
func encodeHead(t *turn) []byte {
	head := []byte{rowFormat}
	for _, d := range []time.Duration{t.written, t.retention, t.chainExpires} {
		head = binary.AppendUvarint(head, uint64(max(0, d.Milliseconds())))
	}
	head = binary.BigEndian.AppendUint64(head, t.digest)
	head = binary.AppendUvarint(head, uint64(t.total))
	head = binary.AppendUvarint(head, uint64(len(t.ancestors)))
	for _, a := range t.ancestors {
		head = append(head, a[:]...)
	}
	return head
}

// encodeTurn returns the transactions that write a turn to its n-th location. The last one holds its
// first row, so that a turn whose row exists is whole.
func encodeTurn(i id, n int, t *turn, rowBytes int) [][]platform.Write {
	limit, head := valueLimit(rowBytes), encodeHead(t)
	if countParts(head, t, limit) == 0 {
		value := append(binary.AppendUvarint(head, 0), t.data...)
		return [][]platform.Write{{{Key: i.rowKey(n), Value: value}}}
	}
	var transactions [][]platform.Write
	var writes []platform.Write
	size, parts := 0, 0
	expiry := uint64(0) // unknown
	if t.written > 0 {
		expiry = uint64((t.written + lifetime(t.retention)).Milliseconds())
	}
	for rest := t.data; len(rest) > 0; parts++ {
		length := min(limit-partHeaderBytes, len(rest))
		part := append(binary.BigEndian.AppendUint64(nil, expiry), rest[:length]...)
		rest = rest[length:]
		if len(writes) == maxTransactionRows || size+len(part) > maxTransactionBytes {
			transactions, writes, size = append(transactions, writes), nil, 0
		}
		writes = append(writes, platform.Write{Key: partKey(i, n, t.digest, parts), IfVersion: platform.AnyVersion, Value: part})
		size += len(part)
	}
	writes = append(writes, platform.Write{Key: i.rowKey(n), Value: binary.AppendUvarint(head, uint64(parts))})
	return append(transactions, writes)
}

var errMalformedRow = errors.New("malformed row")

// maxParts bounds the parts of a turn.
const maxParts = 1 << 16

// decodeTurn decodes a turn's row. The turn's data is in other rows if parts isn't 0.
func decodeTurn(value []byte) (t *turn, parts int, err error) {
	if len(value) == 0 || value[0] != rowFormat {
		return nil, 0, fmt.Errorf("%w: unknown format", errMalformedRow)
	}
	value = value[1:]
	number := func() uint64 {
		n, length := binary.Uvarint(value)
		if length <= 0 {
			err, length = errMalformedRow, 0
		}
		value = value[length:]
		return n
	}
	t = &turn{}
	for _, d := range []*time.Duration{&t.written, &t.retention, &t.chainExpires} {
		*d = time.Duration(number()) * time.Millisecond
	}
	if len(value) < 8 {
		return nil, 0, errMalformedRow
	}
	t.digest = binary.BigEndian.Uint64(value)
	value = value[8:]
	t.total = int64(number())
	ancestors := number()
	if err != nil || ancestors > maxAncestors || len(value) < int(ancestors)*len(id{}) {
		return nil, 0, errMalformedRow
	}
	for range ancestors {
		t.ancestors = append(t.ancestors, id(value[:len(id{})]))
		value = value[len(id{}):]
	}
	count := number()
	if err != nil || count > maxParts {
		return nil, 0, errMalformedRow
	}
	t.data = value
	return t, int(count), nil
}
