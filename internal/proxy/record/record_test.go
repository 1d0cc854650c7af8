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

func line(text string) *recordpb.Record {
	return &recordpb.Record{At: 1, What: &recordpb.Record_Log{Log: &recordpb.Log{Line: text}}}
}

// all reads a recording to its end.
func all(t *testing.T, raw []byte) (list []*recordpb.Record) {
	t.Helper()
	r := record.NewReader(bytes.NewReader(raw))
	for {
		one, err := r.Next()
		if errors.Is(err, io.EOF) {
			return list
		}
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, one)
	}
}

// A recording that reaches its size limit ends, says why, and is no longer than that.
func TestSizeLimitEndsTheRecording(t *testing.T) {
	var file bytes.Buffer
	w := record.NewWriter(&file, 2000)
	for range 100 {
		w.Append(line(strings.Repeat("x", 100)))
	}
	if err := w.Close(); err == nil {
		t.Error("Close tells of no end")
	}
	list := all(t, file.Bytes())
	if n := len(list); file.Len() > 2000 || n < 10 || list[n-1].GetEnded() == nil {
		t.Fatalf("%d bytes, %d records; want at most 2000 with an end", file.Len(), n)
	}
}

// stuckFile is a file whose writes wait until free is closed.
type stuckFile struct {
	free chan struct{}
	bytes.Buffer
}

func (s *stuckFile) Write(p []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(p)
}

// A file whose writes wait ends the recording, and nobody waits for it meanwhile.
func TestSlowFileEndsTheRecording(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := &stuckFile{free: make(chan struct{})}
		w := record.NewWriter(file, 1<<30)
		for range 3000 { // some 3 MB
			w.Append(line(strings.Repeat("x", 1000)))
		}
		close(file.free)
		if err := w.Close(); err == nil || !strings.Contains(err.Error(), "slowly") {
			t.Errorf("Close: %v", err)
		}
		if list := all(t, file.Bytes()); list[len(list)-1].GetEnded() == nil {
			t.Error("it doesn't say why it ended")
		}
	})
}

func TestReaderNamesTheMalformedRecord(t *testing.T) {
	var file bytes.Buffer
	w := record.NewWriter(&file, 1<<20)
	w.Append(line("one"))
	w.Append(line("two"))
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	r := record.NewReader(bytes.NewReader(file.Bytes()[:file.Len()-1]))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut off: %v", err)
	}
	_, err := record.NewReader(strings.NewReader("\x03\xff\xff\xff")).Next()
	if err == nil || !strings.Contains(err.Error(), "record 1") {
		t.Errorf("garbage: %v", err)
	}
}

// recorded simulates a hard case in which each balancer is recorded.
func recorded(t *testing.T, seed uint64) []byte {
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

// The balancer is deterministic, and all of it is recorded: a replay repeats each action.
func TestReplayRepeatsEveryAction(t *testing.T) {
	for seed := range uint64(3) {
		c, err := replay.Exact(record.NewReader(bytes.NewReader(recorded(t, seed))), 3)
		if err != nil || c.Departures > 0 || c.Events < 1000 || c.Actions < 1000 {
			t.Fatalf("seed %d: %+v, %v", seed, c, err)
		}
	}
}

// A recording that was tampered with: the replay differs, and the first difference is named.
func TestReplayFindsADifference(t *testing.T) {
	var file bytes.Buffer
	w := record.NewWriter(&file, 1<<30)
	changed := 0
	for _, r := range all(t, recorded(t, 1)) {
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
		t.Fatalf("%+v, %v; want one departure, at the send", c, err)
	}
}

// The estimate for the balancer that made the recording comes near to what it did.
func TestEstimateIsNearTheRecording(t *testing.T) {
	e, err := replay.Estimate(record.NewReader(bytes.NewReader(recorded(t, 2))))
	if err != nil {
		t.Fatal(err)
	}
	if e.Requests < 500 || e.Recorded.InTime == 0 {
		t.Fatalf("%d requests, %+v", e.Requests, e.Recorded)
	}
	if ratio := float64(e.Present.InTime) / float64(e.Recorded.InTime); ratio < 0.95 || ratio > 1.05 {
		t.Errorf("in time: recorded %d, estimated %d", e.Recorded.InTime, e.Present.InTime)
	}
}
