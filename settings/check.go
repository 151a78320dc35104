package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Problem is one error in settings.
type Problem struct {
	// Line is the line of the file, counted from 1, or zero for a key that is not
	// in the file.
	Line int
	// Key is the path of the key, as in platform.table.
	Key string
	// Found says what is wrong.
	Found string
	// Allowed says what is allowed.
	Allowed string
}

// String returns the problem without the name of the file.
func (p Problem) String() string {
	text := p.Found
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	return text
}

// InvalidError lists all errors in settings.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error implements error: one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// The validation rules that this package adds to those of the validator.
const (
	ruleAddress = "ip_port"
	ruleURL     = "ip_url"
)

func newValidator() *validator.Validate {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	check.RegisterCustomTypeFunc(func(v reflect.Value) any { return time.Duration(v.Int()) }, Duration(0))
	rules := map[string]func(string) bool{ruleAddress: isAddress, ruleURL: isURL}
	for name, rule := range rules {
		// Registration fails only for an empty name or a nil function.
		_ = check.RegisterValidation(name, func(f validator.FieldLevel) bool { return rule(f.Field().String()) })
	}
	return check
}

// isAddress returns true for an IP address and a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isURL returns true for an HTTP or HTTPS URL whose host is an IP address and
// which names no user.
func isURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

// checkValues returns the problems of single values. The map lines holds the line
// of each key that is in the file.
func checkValues(s Settings, lines map[string]int) []Problem {
	var failures validator.ValidationErrors
	if !errors.As(newValidator().Struct(s), &failures) {
		return nil
	}
	var problems []Problem
	for _, f := range failures {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		found := fmt.Sprintf("%v is not allowed", f.Value())
		if f.Tag() == "required" || f.Value() == "" {
			found = "is missing or empty"
		}
		problems = append(problems, Problem{Line: lines[key], Key: key, Found: found, Allowed: allowedAt(key)})
	}
	return problems
}

// crossKeyRule is a rule that relates two keys.
type crossKeyRule struct {
	key   string
	other string
	holds func(Settings) bool
	// allowed says which values of key are allowed.
	allowed string
}

var crossKeyRules = []crossKeyRule{
	{
		key: "listen.peer", other: "listen.api", allowed: "an address other than that of listen.api",
		holds: func(s Settings) bool { return s.Listen.API != s.Listen.Peer || hasAnyPort(s.Listen.API) },
	},
	{
		key: "unreadyTime", other: "shutdownTimeout", allowed: "at most shutdownTimeout",
		holds: func(s Settings) bool { return s.UnreadyTime <= s.ShutdownTimeout },
	},
	{
		key: "platform.timeout", other: "shutdownTimeout", allowed: "at most shutdownTimeout, so that a write under way can settle",
		holds: func(s Settings) bool { return s.Platform.Timeout <= s.ShutdownTimeout },
	},
}

// hasAnyPort returns true for port 0, for which the system chooses a port.
func hasAnyPort(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() == 0
}

// checkCrossKeyRules returns the problems between keys. It skips rules over keys
// that already have a problem in known.
func checkCrossKeyRules(s Settings, lines map[string]int, known []Problem) []Problem {
	isInvalid := func(key string) bool {
		return slices.ContainsFunc(known, func(p Problem) bool { return p.Key == key })
	}
	var problems []Problem
	for _, c := range crossKeyRules {
		if isInvalid(c.key) || isInvalid(c.other) || c.holds(s) {
			continue
		}
		problems = append(problems, Problem{
			Line: lines[c.key], Key: c.key, Allowed: c.allowed,
			Found: fmt.Sprintf("%s contradicts %s %s", valueOf(s, c.key), c.other, valueOf(s, c.other)),
		})
	}
	return problems
}

// Check returns an *InvalidError that lists all problems, or nil.
func Check(file string, s Settings) error {
	return check(file, s, nil, nil)
}

// check checks settings and adds what it finds to the problems that are already
// known.
func check(file string, s Settings, lines map[string]int, problems []Problem) error {
	for _, p := range checkValues(s, lines) {
		known := slices.ContainsFunc(problems, func(k Problem) bool { return k.Key == p.Key })
		if !known {
			problems = append(problems, p)
		}
	}
	problems = append(problems, checkCrossKeyRules(s, lines, problems)...)
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{File: file, Problems: problems}
}
