package ledger

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

const (
	// compressedMark begins a compressed specification. No msgpack value begins with it.
	compressedMark = 0xc1
	// minCompressed is the size from which on a specification is compressed.
	minCompressed = 8 << 10
	// maxSpecification bounds a specification after its decompression. The largest request
	// has 256 KB.
	maxSpecification = 16 << 20
	// defaultRowBytes bounds the value of a row if the configuration does not.
	defaultRowBytes = 48 << 10
)

// TooLargeError means that the specification of a job does not fit into one transaction.
type TooLargeError struct {
	Job   work.ID
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "the specification of job " + string(e.Job) + " has " + strconv.Itoa(e.Bytes) + " bytes, more than the table stores at once"
}

// specificationKeys returns the keys of the rows that hold the specification of a job.
func specificationKeys(id work.ID, rows int) []string {
	keys := []string{JobKey(id)}
	for n := 1; n < rows; n++ {
		keys = append(keys, JobKey(id)+"/"+strconv.Itoa(n))
	}
	return keys
}

// specificationPuts returns the rows of a job's specification, each of at most rowBytes.
func specificationPuts(j *work.Job, rowBytes int) ([]storage.Put, error) {
	data, err := msgpack.Marshal(j)
	if err != nil {
		return nil, err
	}
	if len(data) >= minCompressed {
		if data, err = compress(data); err != nil {
			return nil, err
		}
	}
	if len(data) > maxBytes {
		return nil, &TooLargeError{Job: j.ID, Bytes: len(data)}
	}
	chunks := slices.Collect(slices.Chunk(data, rowBytes))
	puts := make([]storage.Put, 0, len(chunks))
	for n, key := range specificationKeys(j.ID, len(chunks)) {
		puts = append(puts, storage.Put{Key: key, Value: chunks[n]})
	}
	return puts, nil
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(compressedMark)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// ReadJob returns the specification of a job whose state row is e, given the rows of the
// group by their keys.
func ReadJob(rows map[string]storage.Row, id work.ID, e Entry) (work.Job, error) {
	var data []byte
	for _, key := range specificationKeys(id, e.Rows) {
		r, ok := rows[key]
		if !ok {
			return work.Job{}, &MissingRowError{Key: key}
		}
		data = append(data, r.Value...)
	}
	return DecodeJob(data)
}

// MissingRowError means that a row of a specification does not exist.
type MissingRowError struct {
	Key string
}

// Error implements error.
func (e *MissingRowError) Error() string { return "row " + e.Key + " is missing" }

// DecodeJob returns the specification in the values of its rows.
func DecodeJob(data []byte) (work.Job, error) {
	var j work.Job
	if len(data) > 0 && data[0] == compressedMark {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxSpecification)); err != nil {
			return j, errors.Wrap(err, "specification")
		}
	}
	err := msgpack.Unmarshal(data, &j)
	return j, errors.Wrap(err, "specification")
}
