package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/internal/lab/testbed/hollow"
	"caperarch/internal/mesh/headers"
)

// hollowSidecars runs a child process with many sidecars that have no data path. It prints the address of its HTTP
// server, which returns a report (/report) and starts or stops token requests (/ask?every=).
func hollowSidecars(args []string) error {
	var cfg hollow.Config
	if err := json.Unmarshal([]byte(args[0]), &cfg); err != nil {
		return err
	}
	debug.SetGCPercent(50) // the same as in real sidecars
	f := hollow.New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go f.Run(context.Background())
	fmt.Println("hollow", l.Addr())
	mux := http.NewServeMux()
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Report())
	})
	mux.HandleFunc("/ask", func(w http.ResponseWriter, r *http.Request) {
		every, err := time.ParseDuration(r.URL.Query().Get("every"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.RequestTokens(every)
	})
	return http.Serve(l, mux)
}

// meshUpstream runs a child process with the upstream of a sidecar, which responds without delay.
func meshUpstream(args []string) error {
	l, err := net.Listen("tcp", args[0])
	if err != nil {
		return err
	}
	fmt.Println("upstream", l.Addr())
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerAsUpstream(w, r, "i-measured")
	}))
}

// answerAsUpstream writes the response of an upstream's instance, without delay.
func answerAsUpstream(w http.ResponseWriter, r *http.Request, instance string) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h[headers.Instance], h[headers.Load], h[headers.Signature] = []string{instance},
		[]string{"0,0,64"}, []string{"stamp"}
	if id := r.Header[headers.AttemptID]; id != nil {
		h[headers.AttemptID] = id
	}
	h["Content-Length"] = []string{"4"}
	_, _ = io.WriteString(w, "done")
}

// meshLoad is the load that a process of callers generates: calls at random times. Each call is randomly sent directly
// to the upstream or through the mesh, so that other load on the machine affects both kinds of calls alike.
type meshLoad struct {
	Direct, Through string  // addresses of the upstream and of the caller's sidecar
	Rate            float64 // calls per second, of both kinds together
	Seconds         float64
	Seed            uint64
}

// meshTimes is the result of a meshLoad: call durations in ms, and numbers of calls.
type meshTimes struct {
	DirectP50, DirectP99, ThroughP50, ThroughP99 float64
	Direct, Through, Failed                      int
	FirstFailure                                 string `json:",omitempty"`
}

// meshCallers runs a child process that generates a meshLoad.
func meshCallers(args []string) error {
	var l meshLoad
	if err := json.Unmarshal([]byte(args[0]), &l); err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	call := func(address string, n int) error { return l.call(&client, address, n) }
	for n := range 40 { // opens connections
		_, _ = call(l.Direct, 1_000_000+n), call(l.Through, 2_000_000+n)
	}
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	var mu sync.Mutex
	var calls sync.WaitGroup
	var direct, through []time.Duration
	var t meshTimes
	begun := time.Now()
	for due, n := time.Duration(0), 0; due.Seconds() < l.Seconds; n++ {
		time.Sleep(due - time.Since(begun))
		mesh := rng.IntN(2) == 1
		calls.Go(func() {
			address := l.Direct
			if mesh {
				address = l.Through
			}
			from := time.Now()
			err := call(address, n)
			took := time.Since(from)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Failed++
				t.FirstFailure = err.Error()
			case mesh:
				through = append(through, took)
			default:
				direct = append(direct, took)
			}
		})
		due += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
	}
	calls.Wait()
	t.Direct, t.Through = len(direct), len(through)
	t.DirectP50, t.DirectP99 = quantile(direct, 0.5), quantile(direct, 0.99)
	t.ThroughP50, t.ThroughP99 = quantile(through, 0.5), quantile(through, 0.99)
	return json.NewEncoder(os.Stdout).Encode(t)
}

// call sends request n to an address and reads the response.
func (l *meshLoad) call(client *http.Client, address string, n int) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/entry", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = "path.example"
	r.Header[headers.AttemptID] = []string{strconv.FormatUint(l.Seed, 36) + "-" + strconv.Itoa(n)}
	r.Header[headers.Timeout] = []string{"2000"}
	res, err := client.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("got status %s, want 200 OK: %.100s", res.Status, answer)
	}
	return err
}
