package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
)

const minimal = `host: entry-1
dataCentre: coast-a
platform:
  table: http://127.0.0.1:9000
  objects: http://127.0.0.1:9000/objects
  membership: http://127.0.0.1:9000/members
`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		// want holds the line, the key and substrings of the text of each problem.
		want []Problem
	}{
		"minimal": {text: minimal},
		"empty": {text: "", want: []Problem{
			{Key: "host", Found: "missing"},
			{Key: "dataCentre", Found: "missing"},
			{Key: "platform.table", Found: "missing"},
			{Key: "platform.objects", Found: "missing"},
			{Key: "platform.membership", Found: "missing"},
		}},
		"all at once": {text: minimal + "logLevel: loud\nlimitz: {}\nconfigPoll: 1h\nlimits:\n  connections: many\n  bodyBytes: 12\n", want: []Problem{
			{Line: 7, Key: "logLevel", Found: "loud", Allowed: "one of debug, info, warn, error"},
			{Line: 8, Key: "limitz", Found: "no such key", Allowed: "limits"},
			{Line: 9, Key: "configPoll", Found: "1h", Allowed: "50ms to 5s"},
			{Line: 11, Key: "limits.connections", Found: "cannot", Allowed: "1 to 1000"},
			{Line: 12, Key: "limits.bodyBytes", Found: "12", Allowed: "1024 to 67108864"},
		}},
		"key twice": {text: minimal + "host: entry-2\n", want: []Problem{
			{Line: 7, Key: "host", Found: "line 1 already"},
		}},
		"host name in address": {text: minimal + "listen:\n  api: localhost:80\n", want: []Problem{
			{Line: 8, Key: "listen.api", Found: "localhost:80", Allowed: "IP number"},
		}},
		"host name in URL": {text: strings.Replace(minimal, "table: http://127.0.0.1:9000", "table: http://table:9000", 1), want: []Problem{
			{Line: 4, Key: "platform.table", Found: "http://table:9000", Allowed: "IP number"},
		}},
		"api and peer on one address": {text: minimal + "listen:\n  api: 127.0.0.1:80\n  peer: 127.0.0.1:80\n", want: []Problem{
			{Line: 9, Key: "listen.peer", Found: "contradicts listen.api"},
		}},
		"any port twice": {text: minimal + "listen: {api: '127.0.0.1:0', peer: '127.0.0.1:0'}\n"},
		"unready longer than shutdown": {text: minimal + "unreadyTime: 20s\nshutdownTimeout: 10s\n", want: []Problem{
			{Line: 7, Key: "unreadyTime", Found: "20s contradicts shutdownTimeout 10s"},
		}},
		"platform slower than shutdown": {text: strings.Replace(minimal, "platform:", "platform:\n  timeout: 20s", 1) + "shutdownTimeout: 10s\n", want: []Problem{
			{Line: 4, Key: "platform.timeout", Found: "20s contradicts shutdownTimeout 10s"},
		}},
		"section is a value": {text: minimal + "limits: 7\n", want: []Problem{
			{Line: 7, Key: "limits", Found: "is not a section", Allowed: "bodyBytes"},
		}},
		"value is a section": {text: minimal + "region:\n  name: coast\n", want: []Problem{
			{Line: 7, Key: "region", Found: "is a mapping"},
		}},
		"no value": {text: minimal + "configPoll:\n", want: []Problem{
			{Line: 7, Key: "configPoll", Found: "has no value", Allowed: "50ms to 5s"},
		}},
		"duration without a unit": {text: minimal + "configPoll: 7\n", want: []Problem{
			{Line: 7, Key: "configPoll", Found: "missing unit", Allowed: "50ms to 5s"},
		}},
		"not YAML": {text: minimal + "limits: [\n", want: []Problem{
			{Line: 7, Found: "sequence"},
		}},
		"two documents": {text: minimal + "---\nhost: b\n", want: []Problem{
			{Line: 8, Found: "second document"},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("entry.yaml", []byte(test.text))
			if len(test.want) == 0 {
				is.NoErr(err)
				return
			}
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			t.Log(err)
			is.Equal(len(invalid.Problems), len(test.want))
			for i, p := range invalid.Problems {
				is.Equal(p.Line, test.want[i].Line)
				is.Equal(p.Key, test.want[i].Key)
				is.True(strings.Contains(p.Found, test.want[i].Found))
				is.True(strings.Contains(p.Allowed, test.want[i].Allowed))
			}
		})
	}
}

// TestShownSettingsParse checks that the output of settings show is read back as
// the same settings.
func TestShownSettingsParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse("entry.yaml", []byte(minimal))
	is.NoErr(err)
	data, err := yaml.Marshal(s)
	is.NoErr(err)
	again, err := Parse("shown.yaml", data)
	is.NoErr(err)
	is.Equal(again, s)
}

// TestReferencePage checks that docs/SETTINGS.md matches the structs.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "SETTINGS.md"))
	is.NoErr(err)
	documented := map[string]Key{}
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		text := func(i int) string { return strings.Trim(strings.TrimSpace(cells[i]), "`") }
		documented[text(1)] = Key{Path: text(1), Default: text(2), Allowed: text(3)}
		is.True(len(text(4)) > 10) // the meaning
	}
	for _, k := range Keys() {
		is.Equal(documented[k.Path], k)
		delete(documented, k.Path)
	}
	is.Equal(len(documented), 0) // keys that do not exist
}
