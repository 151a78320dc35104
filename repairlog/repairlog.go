// Package repairlog is the sample work of the demo and the tests: groyne
// repair logs, whose answers can be checked one by one.
package repairlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Log is one repair log, the payload of one task.
type Log struct {
	GroyneID       string  `json:"groyneId"`
	TideInspection string  `json:"tideInspection"`
	StoneTonnage   float64 `json:"stoneTonnage"`
	// DeclaredMB is the declared memory of the task in megabytes.
	DeclaredMB int `json:"declaredMb"`
	// DeclaredMS and RunTimeMS are the declared and the real run time in
	// milliseconds.
	DeclaredMS int `json:"declaredMs"`
	RunTimeMS  int `json:"runTimeMs"`
}

// RunTime returns the run time on a backend server of ordinary speed.
func (l Log) RunTime() time.Duration {
	return time.Duration(l.RunTimeMS) * time.Millisecond
}

// Receipt is the answer to one repair log.
type Receipt struct {
	GroyneID  string  `json:"groyneId"`
	BilledTon float64 `json:"billedTon"`
	Digest    string  `json:"digest"`
}

// Answer computes the receipt from the payload of a task.
func Answer(payload []byte) ([]byte, error) {
	var l Log
	if err := json.Unmarshal(payload, &l); err != nil {
		return nil, errors.Wrap(err, "repair log")
	}
	canonical, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(canonical)
	return json.Marshal(Receipt{GroyneID: l.GroyneID, BilledTon: l.StoneTonnage, Digest: hex.EncodeToString(digest[:])})
}

// Check returns an error unless answer is the answer to payload.
func Check(payload, answer []byte) error {
	want, err := Answer(payload)
	if err != nil {
		return err
	}
	if !bytes.Equal(want, bytes.TrimSpace(answer)) {
		return errors.Newf("answer %s does not belong to %s", answer, payload)
	}
	return nil
}

// Bounds of generated logs.
const (
	groynes       = 180
	maxTonnage    = 400
	minRunMS      = 50
	spreadRunMS   = 250
	longRunMS     = 1000
	longOneIn     = 50
	maxMB         = 256
	minutesOfTide = 745
)

// Generate returns n logs made from seed. Declared run times are wrong by up
// to four times either way.
func Generate(seed uint64, n int) []Log {
	random := rand.New(rand.NewPCG(seed, seed))
	tide := time.Date(2026, 12, 3, 5, 40, 0, 0, time.UTC)
	logs := make([]Log, 0, n)
	for i := range n {
		run := minRunMS + random.IntN(spreadRunMS)
		if random.IntN(longOneIn) == 0 {
			run = longRunMS
		}
		logs = append(logs, Log{
			GroyneID:       fmt.Sprintf("G-%03d-%04d", random.IntN(groynes), i),
			TideInspection: tide.Add(time.Duration(random.IntN(4)*minutesOfTide) * time.Minute).Format(time.RFC3339),
			StoneTonnage:   float64(random.IntN(maxTonnage*10)) / 10,
			DeclaredMB:     1 + random.IntN(maxMB),
			DeclaredMS:     max(1, int(float64(run)*(0.25+random.Float64()*3.75))),
			RunTimeMS:      run,
		})
	}
	return logs
}

// Write writes logs as JSON lines.
func Write(w io.Writer, logs []Log) error {
	encoder := json.NewEncoder(w)
	for _, l := range logs {
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	return nil
}
