package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxPayloadBytes bounds one line that ReadPayloads reads.
const maxPayloadBytes = 4 << 20

// ReadPayloads reads the payloads of tasks from JSON lines. Empty lines are
// skipped.
func ReadPayloads(r io.Reader) ([]json.RawMessage, error) {
	var payloads []json.RawMessage
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxPayloadBytes)
	line := 1
	for ; scanner.Scan(); line++ {
		data := bytes.TrimSpace(scanner.Bytes())
		if len(data) == 0 {
			continue
		}
		if !json.Valid(data) {
			return nil, errors.Newf("line %d is not JSON", line)
		}
		payloads = append(payloads, bytes.Clone(data))
	}
	return payloads, errors.Wrapf(scanner.Err(), "line %d", line)
}
