package timeline

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// WriteText prints the events, one per line, with the time since the first event.
func WriteText(w io.Writer, events []Event) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(tw, "TIME (UTC)\tSINCE FIRST\tVM\tEVENT\tPROGRAM\tREQUEST\tENDPOINT\tDETAIL"); err != nil {
		return err
	}
	for _, e := range events {
		since := e.Stamp.Time().Sub(events[0].Stamp.Time())
		_, err := fmt.Fprintf(tw, "%s\t+%.3fs\t%s\t%s\t%s\t%s\t%s\t%s\n",
			e.Stamp.Time().Format("15:04:05.000"), since.Seconds(), printable(e.VM), printable(string(e.Kind)),
			printable(string(e.Program)), printable(e.Request), printable(e.Endpoint), printable(e.Detail))
		if err != nil {
			return err
		}
	}
	return tw.Flush()
}

// printable replaces unprintable characters, since callers can put terminal
// control sequences into request ids. It returns "-" for an empty string.
func printable(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '\uFFFD'
	}, s)
}

//go:embed page
var pageFiles embed.FS

var page = template.Must(template.ParseFS(pageFiles, "page/page.html"))

type pageData struct {
	Title  string
	Style  template.CSS
	Script template.JS
	Events []Event
}

// WriteHTML writes an HTML page that shows the events with a lane for each VM. The
// page is self-contained: it loads no other resources.
func WriteHTML(w io.Writer, title string, events []Event) error {
	style, err := pageFiles.ReadFile("page/page.css")
	if err != nil {
		return err
	}
	script, err := pageFiles.ReadFile("page/page.js")
	if err != nil {
		return err
	}
	if events == nil {
		events = []Event{}
	}
	return page.Execute(w, pageData{Title: title, Style: template.CSS(style), Script: template.JS(script), Events: events})
}
