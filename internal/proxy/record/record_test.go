package record_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/lab/emulator"
	"caperarch/internal/lab/replay"
	"caperarch/internal/proxy/engine"
	"caperarch/internal/proxy/record"
	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

func logRecord(text string) *recordpb.Record {
	return &recordpb.Record{At: 1, What: &recordpb.Record_Log{Log: &recordpb.Log{Line: text}}}
}

// readAll returns all records of a recording.
func readAll(t *testing.T, raw []byte) (list []*recordpb.Record) {
	t.Helper()
	r := record.NewReader(bytes.NewReader(raw))
	for {
		rec, err := r.Next()
		if errors.Is(err, io.EOF) {
			return list
		}
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, rec)
	}
}

// A recording that reaches its size limit ends with a record that contains the reason, and does not exceed the limit.
func TestSizeLimitEndsTheRecording(t *testing.T) {
	var file bytes.Buffer
	w := record.NewWriter(&file, 2000)
	for range 100 {
		w.Append(logRecord(strings.Repeat("x", 100)))
	}
	if err := w.Close(); err == nil {
		t.Error("Close returned no error, want the size limit as the reason for the end")
	}
	list := readAll(t, file.Bytes())
	if n := len(list); file.Len() > 2000 || n < 10 || list[n-1].GetEnded() == nil {
		t.Fatalf("recording has %d bytes and %d records, want at most 2000 bytes and a last record with the reason",
			file.Len(), n)
	}
}

// blockingFile is a file whose writes block until unblock is closed.
type blockingFile struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockingFile) Write(p []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(p)
}

// A file that blocks writes ends the recording, and Append does not wait for the file.
func TestSlowFileEndsTheRecording(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := &blockingFile{unblock: make(chan struct{})}
		w := record.NewWriter(file, 1<<30)
		for range 3000 { // about 3 MB
			w.Append(logRecord(strings.Repeat("x", 1000)))
		}
		close(file.unblock)
		if err := w.Close(); err == nil || !strings.Contains(err.Error(), "slowly") {
			t.Errorf("Close returned error %v, want the slow file as the reason", err)
		}
		if list := readAll(t, file.Bytes()); list[len(list)-1].GetEnded() == nil {
			t.Error("the last record does not contain the reason for the end")
		}
	})
}

// Next returns io.ErrUnexpectedEOF for a truncated recording, and the record's number for a malformed record.
func TestReaderErrors(t *testing.T) {
	var file bytes.Buffer
	w := record.NewWriter(&file, 1<<20)
	w.Append(logRecord("one"))
	w.Append(logRecord("two"))
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	r := record.NewReader(bytes.NewReader(file.Bytes()[:file.Len()-1]))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("Next at a truncated record returned error %v, want io.ErrUnexpectedEOF", err)
	}
	_, err := record.NewReader(strings.NewReader("\x03\xff\xff\xff")).Next()
	if err == nil || !strings.Contains(err.Error(), "record 1") {
		t.Errorf("Next at a malformed record returned error %v, want the number of the record", err)
	}
}

// recordSimulation simulates the first emulator case at reduced size and returns a recording of all its balancers.
func recordSimulation(t *testing.T, seed uint64) []byte {
	t.Helper()
	var file bytes.Buffer
	w := record.NewWriter(&file, 1<<30)
	number := uint32(0)
	f, err := emulator.Cases[0].Fleet(seed, func(c *emulator.Config) {
		c.Sidecars, c.Rate = 6, c.Rate/4
		c.Servers = c.Servers[:4]
		c.New = func(cfg policy.Config, seed uint64, host policy.Host) (engine.Module, error) {
			number++
			return w.NewBalancer(number-1, cfg, seed, host)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Start()
	f.Run(20 * time.Second)
	if err := errors.Join(f.Err(), w.Close()); err != nil {
		t.Fatal(err)
	}
	return file.Bytes()
}

// The balancer is deterministic and all of its inputs are recorded, so a replay repeats each action.
func TestReplayRepeatsEveryAction(t *testing.T) {
	for seed := range uint64(3) {
		c, err := replay.Exact(record.NewReader(bytes.NewReader(recordSimulation(t, seed))), 3)
		if err != nil || c.Departures > 0 || c.Events < 1000 || c.Actions < 1000 {
			t.Fatalf("seed %d: replay returned %+v with error %v, want at least 1000 events and actions and no departure",
				seed, c, err)
		}
	}
}

// If an action in a recording is modified, the replay reports one departure at this action.
func TestReplayFindsADifference(t *testing.T) {
	var file bytes.Buffer
	w := record.NewWriter(&file, 1<<30)
	changed := 0
	for _, r := range readAll(t, recordSimulation(t, 1)) {
		if s := r.GetSend(); s != nil && changed == 0 && r.At > int64(time.Hour+time.Second) {
			s.Server++
			changed++
		}
		w.Append(r)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	c, err := replay.Exact(record.NewReader(&file), 3)
	if err != nil || c.Departures != 1 || len(c.First) != 1 || c.First[0].Recorded.GetSend() == nil {
		t.Fatalf("replay returned %+v with error %v, want one departure at the send action", c, err)
	}
}

// The estimate for the balancer that made the recording is within 5 % of the recorded result.
func TestEstimateIsNearTheRecording(t *testing.T) {
	e, err := replay.Estimate(record.NewReader(bytes.NewReader(recordSimulation(t, 2))))
	if err != nil {
		t.Fatal(err)
	}
	if e.Requests < 500 || e.Recorded.InTime == 0 {
		t.Fatalf("recording has %d requests with %+v, want at least 500 with some in time", e.Requests, e.Recorded)
	}
	if ratio := float64(e.Present.InTime) / float64(e.Recorded.InTime); ratio < 0.95 || ratio > 1.05 {
		t.Errorf("recording has %d requests in time and the estimate %d, want a ratio between 0.95 and 1.05",
			e.Recorded.InTime, e.Present.InTime)
	}
}
