package forwarder

import (
	"cmp"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// completeEvents returns the complete events at the start of a stream.
func completeEvents(b []byte) eventBlock {
	var order eventOrder
	block, _ := order.take(b) // fails for resumed streams only
	return block
}

func TestCompleteEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		want         eventBlock
	}{
		{"nothing", "", eventBlock{}},
		{"a started event", "id: 1\ndata: a", eventBlock{}},
		{"an event without its blank line", "id: 1\ndata: a\n", eventBlock{}},
		{"one event", "id: 1\ndata: a\n\n", eventBlock{15, 1, "1"}},
		{"the id of a started event is not the last id", "id: 1\n\nid: 2\ndata", eventBlock{7, 1, "1"}},
		{"an event without an id keeps the last id", "id: 1\n\ndata: a\n\n", eventBlock{16, 2, "1"}},
		{"lines that end with CR LF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", eventBlock{18, 1, "1"}},
		{"lines that end with CR", "id: 1\rdata: a\r\rid", eventBlock{15, 1, "1"}},
		{"a blank line without its LF", "id: 1\r\n\r", eventBlock{}},
		{"a blank line without its LF, later", "id: 1\r\n\r\nid: 2\r\n\r", eventBlock{9, 1, "1"}},
		{"a blank line of a stream without LF", "id: 1\r\r", eventBlock{7, 1, "1"}},
		{"a blank line that ends with CR after one that ends with LF", "id: 1\n\r", eventBlock{7, 1, "1"}},
		{"the LF of a blank line that came before", "\nid: 2", eventBlock{1, 0, ""}},
		{"comments are no events", ": a\n\n:b\n\nid: 1\n: c\n\n", eventBlock{20, 1, "1"}},
		{"blank lines are no events", "\n\n\n", eventBlock{3, 0, ""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(completeEvents([]byte(tt.stream)), tt.want)
		})
	}
}

func TestCompleteEvents_ResultDoesNotDependOnHowTheStreamArrives(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n", "\r"} {
		stream := strings.ReplaceAll("id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\ndata: c\n\n", "\n", ending)
		for cut := range len(stream) {
			is := is.New(t)
			first := completeEvents([]byte(stream[:cut]))
			second := completeEvents([]byte(stream[first.length:]))
			is.Equal(first.length+second.length, len(stream))
			is.Equal(first.events+second.events, 2) // a comment is none
			is.Equal(cmp.Or(second.lastID, first.lastID), "2")
		}
	}
}

func TestEventOrder(t *testing.T) {
	const text = "upstream connect error\n\n"
	tests := []struct {
		name, after   string // the id after which the caller takes the stream up
		first, second string // two answers
		want          string // of the second one
		err           error
	}{
		{"the first answer is taken as it is", "", "", "", "", nil},
		{"the next event", "", "id: 1\n\nid: 2\n\n", "id: 3\n\nid: 4\n\n", "id: 3\n\nid: 4\n\n", nil},
		{"ids from 0", "", "id: 0\n\n", "id: 1\n\n", "id: 1\n\n", nil},
		{"an event is left out", "", "id: 1\n\nid: 2\n\n", "id: 4\n\n", "", errNotNext},
		{"an event is left out after the first one", "", "id: 1\n\n", "id: 3\n\n", "", errNotNext},
		{"an event is left out later", "", "id: 1\n\n", "id: 2\n\nid: 4\n\n", "id: 2\n\n", errNotNext},
		{"ids with gaps", "", "id: 1\n\nid: 5\n\n", "id: 9\n\n", "id: 9\n\n", nil},
		{"ids with gaps from the start", "", "id: 7\n\n", "id: 9\n\n", "id: 9\n\n", nil},
		{"the last event again", "", "id: 1\n\nid: 5\n\n", "id: 5\n\n", "", errNotNext},
		{"an earlier event", "", "id: 1\n\nid: 5\n\n", "id: 3\n\n", "", errNotNext},
		{"numbers are compared, not texts", "", "id: 1\n\nid: 9\n\n", "id: 10\n\n", "id: 10\n\n", nil},
		{"no id", "", "id: 1\n\n", text, "", errNotNext},
		{"no id later", "", "id: 1\n\n", "id: 2\n\n" + text + "id: 3\n\n", "id: 2\n\n", errNotNext},
		{"no number after a number", "", "id: 1\n\n", "id: b\n\n", "", errNotNext},
		{"a number after another text", "", "id: a\n\n", "id: 2\n\n", "", errNotNext},
		{"texts have no order", "", "id: b\n\n", "id: a\n\n", "id: a\n\n", nil},
		{"the same text", "", "id: b\n\n", "id: b\n\n", "", errNotNext},
		{"comments alone", "", "id: 1\n\n", ": a\n\n\n", "", nil},
		{"comments before the next event", "", "id: 1\n\n", ": a\n\nid: 2\n\n: b\n\n", ": a\n\nid: 2\n\n: b\n\n", nil},
		{"comments before another event", "", "id: 1\n\n", ": a\n\nid: 3\n\n", "", errNotNext},
		{"only comments came before", "", ": a\n\n", "id: 1\n\n", "id: 1\n\n", nil},
		{"only comments came before an error", "", ": a\n\n", text, "", errNotNext},
		{"taken up by the caller", "2", "id: 3\n\n", "id: 4\n\n", "id: 4\n\n", nil},
		{"taken up by the caller, an event is left out", "2", "id: 3\n\n", "id: 5\n\n", "", errNotNext},
		{"taken up by the caller, only comments came before", "2", ": a\n\n", "id: 2\n\n", "", errNotNext},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			order := eventOrder{last: tt.after}
			block, err := order.take([]byte(tt.first))
			is.NoErr(err)
			is.Equal(block.length, len(tt.first))
			order.resume()
			block, err = order.take([]byte(tt.second))
			is.Equal(err, tt.err)
			is.Equal(tt.second[:block.length], tt.want)
		})
	}
	t.Run("the first answer may go back, repeat and leave out ids", func(t *testing.T) {
		is := is.New(t)
		const stream = "id: 1\n\nid: 1\n\n" + text + "id: 7\n\nid: 3\n\nid: a\n\n"
		var order eventOrder
		block, err := order.take([]byte(stream))
		is.NoErr(err)
		is.Equal(block, eventBlock{len(stream), 6, "a"})
	})
	t.Run("a stream that the caller takes up doesn't go back", func(t *testing.T) {
		for _, id := range []string{"1", "2"} {
			order := eventOrder{last: "2"}
			_, err := order.take([]byte("id: " + id + "\n\n"))
			is.New(t).Equal(err, errNotNext)
		}
	})
}

// dataOf is an independent writing of the rule for the data of events, line by line.
func dataOf(stream string) string {
	stream = strings.ReplaceAll(strings.ReplaceAll(stream, "\r\n", "\n"), "\r", "\n")
	var out strings.Builder
	for event := range strings.SplitSeq(stream, "\n\n") {
		var lines []string
		for line := range strings.SplitSeq(event, "\n") {
			if line == "data" {
				lines = append(lines, "")
			} else if strings.HasPrefix(line, "data:") {
				lines = append(lines, strings.TrimPrefix(line[5:], " "))
			}
		}
		if lines != nil {
			out.WriteString(strings.Join(lines, "\n") + "\n")
		}
	}
	return out.String()
}

func TestAppendEventData_GivesTheDataOfEachEvent(t *testing.T) {
	is := is.New(t)
	for stream, want := range map[string]string{
		"id: 1\ndata: a\n\n":                "a\n",
		"data:a\n\ndata:  b\n\n":            "a\n b\n",
		"data: a\ndata: b\n\n":              "a\nb\n",
		"data\n\n":                          "\n",
		"data:\n\n":                         "\n",
		"data: a: b\r\n\r\ndata: c\r\r":     "a: b\nc\n",
		": comment\n\nid: 7\n\n":            "",
		"database: x\ndata: y\ndata2:z\n\n": "y\n",
	} {
		is.Equal(string(appendEventData(nil, []byte(stream))), want)
		is.Equal(dataOf(stream), want)
	}
	random := rand.New(rand.NewPCG(1, 2))
	lines := []string{"data: x", "data:y", "data:  z ", "data", "id: 4", ": c", "data: ü:", "event: e"}
	ends := []string{"\n", "\r\n", "\r"}
	for range 2000 {
		var events []byte
		end := ends[random.IntN(len(ends))]
		for range random.IntN(5) {
			for range 1 + random.IntN(4) {
				events = append(events, lines[random.IntN(len(lines))]+end...)
			}
			events = append(events, end...)
		}
		var order eventOrder // splits the stream as it arrives
		var got, rest []byte
		for from := 0; from < len(events); {
			to := min(len(events), from+1+random.IntN(9))
			rest = append(rest, events[from:to]...)
			from = to
			block, err := order.take(rest)
			is.NoErr(err)
			got = appendEventData(got, rest[:block.length])
			rest = rest[block.length:]
		}
		is.Equal(string(got), dataOf(string(events)))
	}
}
