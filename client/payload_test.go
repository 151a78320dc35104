package client

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReadPayloads(t *testing.T) {
	tests := map[string]struct {
		text string
		want int
		err  string
	}{
		"empty":        {},
		"lines":        {text: "{\"a\":1}\n2\n\"x\"\n", want: 3},
		"blank lines":  {text: "\n1\n\n  \n2", want: 2},
		"not JSON":     {text: "1\n2\n{\n", err: "line 3 is not JSON"},
		"line too big": {text: "1\n\"" + strings.Repeat("x", maxPayloadBytes) + "\"\n", err: "line 2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			payloads, err := ReadPayloads(strings.NewReader(test.text))
			if test.err != "" {
				is.True(err != nil && strings.Contains(err.Error(), test.err))
				return
			}
			is.NoErr(err)
			is.Equal(len(payloads), test.want)
		})
	}
}
