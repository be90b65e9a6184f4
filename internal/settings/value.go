package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Size is a number of bytes.
type Size int64

// Units of sizes.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

// sizeUnits lists the units of sizes. "B" is last, since the other suffixes end with
// it too.
var sizeUnits = []struct {
	suffix string
	bytes  Size
}{
	{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1},
}

// ParseSize parses a whole number with a unit, such as "64KiB".
func ParseSize(text string) (Size, error) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.bytes) {
			return 0, fmt.Errorf("not a size: %q", text)
		}
		return Size(n) * u.bytes, nil
	}
	return 0, fmt.Errorf("size without a unit: %q", text)
}

// String returns the size in the largest unit that divides it evenly.
func (s Size) String() string {
	for _, u := range []int{2, 1, 0} {
		unit := sizeUnits[u]
		if s != 0 && s%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", s/unit.bytes, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// valueParser parses the text of one key and stores the value in a field.
// allowed describes the allowed values in error messages.
type valueParser struct {
	parse   func(text string) error
	allowed string
}

const maxDuration = 24 * time.Hour

func durationBetween(p *time.Duration, low, high time.Duration) valueParser {
	set := func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("not a duration")
		}
		if d < low || d > high {
			return fmt.Errorf("out of range")
		}
		*p = d
		return nil
	}
	return valueParser{set, fmt.Sprintf("a duration with a unit, %v to %v, such as 500ms or 1m30s", low, high)}
}

func duration(p *time.Duration) valueParser { return durationBetween(p, time.Millisecond, maxDuration) }

func sizeBetween(p *Size, low, high Size) valueParser {
	set := func(text string) error {
		n, err := ParseSize(text)
		if err != nil {
			return err
		}
		if n < low || n > high {
			return fmt.Errorf("out of range")
		}
		*p = n
		return nil
	}
	return valueParser{set, fmt.Sprintf("a size with a unit (B, KiB, MiB, GiB), %v to %v", low, high)}
}

func intBetween(p *int, low, high int) valueParser {
	set := func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("not a whole number")
		}
		if n < low || n > high {
			return fmt.Errorf("out of range")
		}
		*p = n
		return nil
	}
	return valueParser{set, fmt.Sprintf("a whole number, %d to %d", low, high)}
}

func ratio(p *float64) valueParser {
	set := func(text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("not a number")
		}
		if !(f >= 0 && f <= 1) {
			return fmt.Errorf("out of range")
		}
		*p = f
		return nil
	}
	return valueParser{set, "a number, 0 to 1"}
}

func boolean(p *bool) valueParser {
	set := func(text string) error {
		switch text {
		case "true":
			*p = true
		case "false":
			*p = false
		default:
			return fmt.Errorf("not a boolean")
		}
		return nil
	}
	return valueParser{set, "true or false"}
}

func oneOf(p *string, choices ...string) valueParser {
	set := func(text string) error {
		for _, c := range choices {
			if text == c {
				*p = text
				return nil
			}
		}
		return fmt.Errorf("not one of the allowed values")
	}
	return valueParser{set, strings.Join(choices, " or ")}
}

func name(p *string) valueParser {
	set := func(text string) error {
		if text != "" && !entity.ValidName(text) {
			return fmt.Errorf("not a name")
		}
		*p = text
		return nil
	}
	return valueParser{set, "1 to 64 lower-case letters, digits, hyphens and underscores"}
}

func names(p *[]string) valueParser {
	set := func(text string) error {
		*p = splitList(text)
		return nil
	}
	return valueParser{set, "names separated by commas"}
}

func path(p *string) valueParser {
	set := func(text string) error {
		if strings.ContainsRune(text, 0) {
			return fmt.Errorf("not a path")
		}
		*p = text
		return nil
	}
	return valueParser{set, "a path; a relative path is resolved against the directory of the settings file"}
}

const addressAllowed = "an IP address and a port, such as 10.0.0.1:8080"

func address(p *string) valueParser {
	set := func(text string) error {
		if text != "" {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return fmt.Errorf("not an address")
			}
		}
		*p = text
		return nil
	}
	return valueParser{set, addressAllowed}
}

func addresses(p *[]string) valueParser {
	set := func(text string) error {
		list := splitList(text)
		for _, a := range list {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return fmt.Errorf("%q is not an address", a)
			}
		}
		*p = list
		return nil
	}
	return valueParser{set, addressAllowed + ", separated by commas"}
}

func baseURL(p *string) valueParser {
	set := func(text string) error {
		if text == "" {
			*p = ""
			return nil
		}
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("not a URL")
		}
		if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return fmt.Errorf("the URL has a user, query or fragment")
		}
		*p = strings.TrimRight(text, "/")
		return nil
	}
	return valueParser{set, "an http or https URL without user, query and fragment"}
}

func hashes(p *[]string) valueParser {
	set := func(text string) error {
		list := splitList(text)
		for _, h := range list {
			if !validHash(h) {
				return fmt.Errorf("an entry is not a hash")
			}
		}
		*p = list
		return nil
	}
	return valueParser{set, "lower-case hex SHA-256 hashes separated by commas, as printed by `ibisstall key generate`"}
}

// validHash reports whether s is a lower-case hex SHA-256 hash.
func validHash(s string) bool {
	const hexLength = 64
	return len(s) == hexLength && strings.Trim(s, "0123456789abcdef") == ""
}

// splitList splits a comma-separated list and drops empty entries.
func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
