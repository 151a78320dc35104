package cmd

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/spf13/pflag"
)

// The formats of output.
const (
	outputJSON  = "json"
	outputTable = "table"
	outputYAML  = "yaml"
)

// columnGap is the minimum number of spaces between two columns of a table.
const columnGap = 2

// outputFormat is a flag value that accepts only known formats.
type outputFormat struct{ value *string }

// addOutputFlag adds the flag -o with the table as its default.
func addOutputFlag(flags *pflag.FlagSet, into *string) {
	*into = outputTable
	flags.VarP(outputFormat{into}, "output", "o", "format of the output: table, json or yaml")
}

// String implements pflag.Value.
func (f outputFormat) String() string { return *f.value }

// Type implements pflag.Value.
func (outputFormat) Type() string { return "format" }

// Set implements pflag.Value.
func (f outputFormat) Set(text string) error {
	switch text {
	case outputJSON, outputTable, outputYAML:
		*f.value = text
		return nil
	}
	return errors.New("choose " + strings.Join([]string{outputTable, outputJSON, outputYAML}, ", "))
}

// write prints value in a format. The function table prints it as a table.
func (c *Config) write(format string, value any, table func(io.Writer) error) error {
	switch format {
	case outputJSON:
		return c.writeJSON(value)
	case outputYAML:
		// Encode by way of JSON, so that the keys are the same as in JSON.
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		if data, err = yaml.JSONToYAML(data); err != nil {
			return err
		}
		_, err = c.stdout.Write(data)
		return err
	}
	return table(c.stdout)
}
