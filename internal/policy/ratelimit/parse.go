package ratelimit

import (
	"strconv"
	"strings"
)

// maxValueBytes is the longest text that Parse takes for a rate.
const maxValueBytes = 32

// Parse parses a rate in requests per second, which is a decimal number without sign or
// exponent. It returns false if the text is anything else.
func Parse(text string) (perSecond float64, ok bool) {
	text = strings.TrimSpace(text)
	if text == "" || len(text) > maxValueBytes || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil
}
