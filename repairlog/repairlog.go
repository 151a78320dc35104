// Package repairlog is the sample workload of the demo and the tests: groyne
// repair logs, each with an answer that can be verified.
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
	// DeclaredMS and RunTimeMS are the declared and the actual run time in
	// milliseconds.
	DeclaredMS int `json:"declaredMs"`
	RunTimeMS  int `json:"runTimeMs"`
}

// RunTime returns the run time on a backend server of speed 1.
func (l Log) RunTime() time.Duration {
	return time.Duration(l.RunTimeMS) * time.Millisecond
}

// Receipt is the answer to one repair log.
type Receipt struct {
	GroyneID  string  `json:"groyneId"`
	BilledTon float64 `json:"billedTon"`
	Digest    string  `json:"digest"`
}

// Answer returns the encoded receipt for the payload of a task.
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

// Check returns an error if answer is not the answer to payload.
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

// Bounds of generated logs. On average, one in tasksPerLongRun tasks has the long
// run time, and inspections are multiples of tidePeriodMinutes apart.
const (
	groyneCount       = 180
	maxTonnage        = 400
	minRunTimeMS      = 50
	runTimeSpreadMS   = 250
	longRunTimeMS     = 1000
	tasksPerLongRun   = 50
	maxDeclaredMB     = 256
	tidePeriodMinutes = 745
)

// Generate returns n logs that depend only on seed. A declared run time is between
// a quarter and four times the actual one.
func Generate(seed uint64, n int) []Log {
	random := rand.New(rand.NewPCG(seed, seed))
	tide := time.Date(2026, 12, 3, 5, 40, 0, 0, time.UTC)
	logs := make([]Log, 0, n)
	for i := range n {
		run := minRunTimeMS + random.IntN(runTimeSpreadMS)
		if random.IntN(tasksPerLongRun) == 0 {
			run = longRunTimeMS
		}
		logs = append(logs, Log{
			GroyneID:       fmt.Sprintf("G-%03d-%04d", random.IntN(groyneCount), i),
			TideInspection: tide.Add(time.Duration(random.IntN(4)*tidePeriodMinutes) * time.Minute).Format(time.RFC3339),
			StoneTonnage:   float64(random.IntN(maxTonnage*10)) / 10,
			DeclaredMB:     1 + random.IntN(maxDeclaredMB),
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
