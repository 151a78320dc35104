// Package settings reads and checks the settings of an entry host.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/catkingap/catkingap/ident"
)

// Duration is a duration written as in 250ms or 5s.
type Duration time.Duration

// UnmarshalYAML reads a duration.
func (d *Duration) UnmarshalYAML(data []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(strings.TrimSpace(string(data)), `"'`))
	*d = Duration(parsed)
	return err
}

// MarshalYAML writes a duration.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	// API is the address for callers and operators.
	API string `yaml:"api" validate:"required,tcp_addr"`
	// Peer is the address for other entry hosts.
	Peer string `yaml:"peer" validate:"required,tcp_addr"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Table      string   `yaml:"table" validate:"required,http_url"`
	Objects    string   `yaml:"objects" validate:"required,http_url"`
	Membership string   `yaml:"membership" validate:"required,http_url"`
	Timeout    Duration `yaml:"timeout" validate:"min=10ms,max=60s"`
}

// Limits bounds what the daemon takes.
type Limits struct {
	// BodyBytes bounds the body of a submission.
	BodyBytes int64 `yaml:"bodyBytes" validate:"min=1024,max=67108864"`
	// QueueTasks bounds the tasks that wait for a slot, of one pool.
	QueueTasks int `yaml:"queueTasks" validate:"min=1,max=1000000"`
	// TimelineEvents bounds the events that are kept.
	TimelineEvents int `yaml:"timelineEvents" validate:"min=100,max=1000000"`
	// Connections bounds the connections to one backend server.
	Connections int `yaml:"connections" validate:"min=1,max=1000"`
}

// Settings are the settings of one entry host.
type Settings struct {
	Host       ident.Host       `yaml:"host" validate:"required,max=63"`
	DataCentre ident.DataCentre `yaml:"dataCentre" validate:"required,max=63"`
	Region     ident.Region     `yaml:"region" validate:"max=63"`
	LogLevel   string           `yaml:"logLevel" validate:"oneof=debug info warn error"`
	Listen     Listen           `yaml:"listen"`
	Platform   Platform         `yaml:"platform"`
	Limits     Limits           `yaml:"limits"`
	// ConfigPoll is the pause between reads of the configuration's head.
	ConfigPoll Duration `yaml:"configPoll" validate:"min=50ms,max=5s"`
	// MembershipPoll is the pause between reads of the membership list.
	MembershipPoll Duration `yaml:"membershipPoll" validate:"min=50ms,max=60s"`
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout Duration `yaml:"shutdownTimeout" validate:"min=1s,max=10m"`
	// UnreadyTime is how long a host that shuts down goes on accepting, so
	// that the balancer sees that it is not ready.
	UnreadyTime Duration `yaml:"unreadyTime" validate:"min=0s,max=1m"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Listen:   Listen{API: "127.0.0.1:8080", Peer: "127.0.0.1:8081"},
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Limits: Limits{
			BodyBytes:      8 << 20,
			QueueTasks:     100_000,
			TimelineEvents: 20_000,
			Connections:    60,
		},
		ConfigPoll:      Duration(500 * time.Millisecond),
		MembershipPoll:  Duration(time.Second),
		ShutdownTimeout: Duration(30 * time.Second),
		UnreadyTime:     Duration(2 * time.Second),
	}
}

// InvalidError lists all that is wrong with settings.
type InvalidError struct {
	File     string
	Problems []string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "; ")
}

// Load reads and checks the settings in a file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse reads and checks settings. File names their source in errors.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return s, &InvalidError{File: file, Problems: []string{yaml.FormatError(err, false, false)}}
	}
	return s, Check(file, s)
}

// Check returns an *InvalidError that lists all problems, or nil.
func Check(file string, s Settings) error {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	check.RegisterCustomTypeFunc(func(v reflect.Value) any { return time.Duration(v.Int()) }, Duration(0))
	err := check.Struct(s)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	invalid := &InvalidError{File: file}
	for _, f := range failures {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		invalid.Problems = append(invalid.Problems, fmt.Sprintf("%s: %v is not allowed (%s %s)", key, f.Value(), f.Tag(), f.Param()))
	}
	return invalid
}
