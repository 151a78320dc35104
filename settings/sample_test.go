package settings_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/settings"
)

// TestSample checks that the sample settings of the README are valid.
func TestSample(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load("../samples/entry.yaml")
	is.NoErr(err)
	is.Equal(string(s.Host), "entry-1")
}
