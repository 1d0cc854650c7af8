package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

const (
	nodes    = 8
	nodeTime = 2 * time.Millisecond
	body     = "weight 41.5 kg; hive 7; the rest is padding as a gateway app has it ..................................."
)

// serveNodes runs a child process with simulated nodes, each at its own address, and discovery. It prints the addresses
// of discovery and of the nodes.
func serveNodes(args []string) error {
	silent := len(args) > 0 && args[0] == "silent"
	var addresses []string
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if silent {
			<-r.Context().Done()
			return
		}
		if r.URL.RawQuery == "answer=large" {
			w.Header().Set("Content-Length", strconv.Itoa(bulkSize))
			_, _ = io.CopyN(w, zeros{}, bulkSize)
			return
		}
		time.Sleep(nodeTime)
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "done")
	})
	for range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, l.Addr().String())
		go func() { _ = http.Serve(l, answer) }()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println("nodes", l.Addr(), strings.Join(addresses, " "))
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a watch: the list does not change
			select {
			case <-r.Context().Done():
			case <-time.After(20 * time.Second):
			}
		}
		_, _ = io.WriteString(w, testbed.Listed(1, "ready", addresses...))
	}))
}

// serveProxy runs a child process with the standard library's reverse proxy, which uses the nodes in turn.
func serveProxy(addresses []string) error {
	runtime.GOMAXPROCS(1) // the same as the daemon
	var mu sync.Mutex
	next := 0
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			mu.Lock()
			next++
			address := addresses[next%len(addresses)]
			mu.Unlock()
			r.SetURL(&url.URL{Scheme: "http", Host: address})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println("proxy listen=" + l.Addr().String() + " ")
	return http.Serve(l, proxy)
}
