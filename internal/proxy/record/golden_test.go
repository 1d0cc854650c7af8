package record

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/proxy/record/recordpb"
	"caperarch/policy"
)

// Policy values in the golden recording testdata/recording.
var (
	goldenLoad = policy.Load{
		Has: 63, InFlight: 1.5, Queued: 2.5, Busy: 0.5, Service: 6, Served: 7.5, Errors: 8.5,
	}
	goldenRequest = policy.Request{ID: 13, Class: 14, Tenant: 15, Key: 16, TimeLeft: 17, Work: 18, IsRetry: true}
	goldenOutcome = policy.Outcome{ID: 19, Attempt: 20, Ending: 2, Finished: true, Load: goldenLoad}
	goldenServers = []policy.Server{
		{ID: 21, Zone: 22, Cell: 23, State: policy.Ready, Weight: 24.5, Started: 25},
		{ID: 26, State: policy.Draining},
	}
)

// goldenRecords returns the records that an earlier release wrote to testdata/recording. There is one record of each
// kind, and all numbers differ, so that a confusion of fields is detected.
func goldenRecords() []*recordpb.Record {
	var list []*recordpb.Record
	add := func(r *recordpb.Record) {
		r.At, r.Instance = int64(len(list)+1), 3
		list = append(list, r)
	}
	opened := &recordpb.Opened{Seed: 11, Config: []byte(`{"Index":12}`)}
	probed := &recordpb.Probed{Server: 27, Ok: true, Load: encodeLoad(goldenLoad)}
	limits := &recordpb.Reconfigure{Limits: []byte(`{"Queue":30}`)}
	add(&recordpb.Record{What: &recordpb.Record_Opened{Opened: opened}})
	add(&recordpb.Record{What: &recordpb.Record_Start{Start: &recordpb.Start{}}})
	add(&recordpb.Record{What: &recordpb.Record_Request{Request: encodeRequest(goldenRequest)}})
	add(&recordpb.Record{What: &recordpb.Record_Outcome{Outcome: encodeOutcome(goldenOutcome)}})
	add(&recordpb.Record{What: &recordpb.Record_Wake{Wake: &recordpb.Wake{}}})
	add(&recordpb.Record{What: &recordpb.Record_List{List: encodeList(1, goldenServers)}})
	add(&recordpb.Record{What: &recordpb.Record_Probed{Probed: probed}})
	add(&recordpb.Record{What: &recordpb.Record_Gone{Gone: &recordpb.Gone{Id: 28}}})
	add(&recordpb.Record{What: &recordpb.Record_Begun{Begun: &recordpb.Begun{Id: 29}}})
	add(&recordpb.Record{What: &recordpb.Record_Reconfigure{Reconfigure: limits}})
	actions := ActionRecorder(add)
	actions.Send(31, 32, 33)
	actions.Refuse(34, 35)
	actions.Fail(36)
	actions.Cancel(37, 38)
	actions.Wake(39)
	actions.CloseIdleConnections(40)
	actions.Probe(41)
	actions.WatchList()
	actions.Log("a line")
	add(&recordpb.Record{What: &recordpb.Record_Ended{Ended: &recordpb.Ended{Reason: "a reason"}}})
	return list
}

// Guards against an incompatible change of the file format: the recording of an earlier release is read, and the same
// records are written as the same bytes.
func TestRecordingFormatIsUnchanged(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "recording"))
	if err != nil {
		t.Fatal(err)
	}
	var written bytes.Buffer
	w, r := NewWriter(&written, 1<<20), NewReader(bytes.NewReader(golden))
	for i, want := range goldenRecords() {
		got, err := r.Next()
		if err != nil || !proto.Equal(got, want) {
			t.Errorf("record %d is read as %v with error %v, want %v", i, got, err, want)
		}
		w.Append(want)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("Next after the last record returned error %v, want io.EOF", err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), golden) {
		t.Errorf("written recording is %x, want %x", written.Bytes(), golden)
	}
}

// Decoding a recorded policy value returns the value that was encoded.
func TestDecodePolicyValues(t *testing.T) {
	records := goldenRecords()
	if got := DecodeRequest(records[2].GetRequest()); got != goldenRequest {
		t.Errorf("request is %+v, want %+v", got, goldenRequest)
	}
	if got := DecodeOutcome(records[3].GetOutcome()); got != goldenOutcome {
		t.Errorf("outcome is %+v, want %+v", got, goldenOutcome)
	}
	if kind, got := DecodeList(records[5].GetList()); kind != 1 || !reflect.DeepEqual(got, goldenServers) {
		t.Errorf("list has kind %v and servers %+v, want kind 1 and %+v", kind, got, goldenServers)
	}
}
