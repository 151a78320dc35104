// Package settings reads and checks the settings of an entry host.
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
)

// Duration is a duration that is written as in 250ms or 5s.
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
	API string `yaml:"api" validate:"ip_port"`
	// Peer is the address for other entry hosts.
	Peer string `yaml:"peer" validate:"ip_port"`
}

// Platform holds the URLs of the platform's services and the timeout of calls.
type Platform struct {
	// Table is the base URL of the transactional table.
	Table string `yaml:"table" validate:"ip_url"`
	// Objects is the base URL of the object store.
	Objects string `yaml:"objects" validate:"ip_url"`
	// Membership is the URL of the membership list.
	Membership string `yaml:"membership" validate:"ip_url"`
	// Timeout bounds one call to a service of the platform.
	Timeout Duration `yaml:"timeout" validate:"min=10ms,max=60s"`
}

// Limits bounds what the daemon accepts, keeps and opens.
type Limits struct {
	// BodyBytes bounds the body of a submission.
	BodyBytes int64 `yaml:"bodyBytes" validate:"min=1024,max=67108864"`
	// QueueTasks bounds the tasks of one pool that wait for a slot.
	QueueTasks int `yaml:"queueTasks" validate:"min=1,max=1000000"`
	// TimelineEvents bounds the events that the timeline keeps.
	TimelineEvents int `yaml:"timelineEvents" validate:"min=100,max=1000000"`
	// Connections bounds the connections to one backend server.
	Connections int `yaml:"connections" validate:"min=1,max=1000"`
	// MemoryMB is the memory of the host in MiB, of which a quarter may hold the bodies
	// of requests. Zero derives it from GOMEMLIMIT.
	MemoryMB int64 `yaml:"memoryMb" validate:"min=0,max=1048576"`
	// Descriptors is the number of open files and sockets, of which callers get a share.
	// Zero means the limit of the process.
	Descriptors int `yaml:"descriptors" validate:"min=0,max=1048576"`
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
	// UnreadyTime is how long a host that shuts down continues to accept
	// requests, so that the balancer can notice that it is not ready.
	UnreadyTime Duration `yaml:"unreadyTime" validate:"min=0s,max=1m"`
}

// Default returns the settings that apply to keys which a file does not set.
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
		MembershipPoll:  Duration(500 * time.Millisecond),
		ShutdownTimeout: Duration(30 * time.Second),
		UnreadyTime:     Duration(2 * time.Second),
	}
}

// Load reads and checks the settings in a file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}
