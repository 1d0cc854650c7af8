package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// floodKinds are the kinds of load that the flooded pool is exposed to.
var floodKinds = []string{"full bodies", "bodies sent byte by byte", "idle connections",
	"nodes that never respond"}

// flooding is the configuration of a process that floods a pool.
type flooding struct {
	Kind, Address, Host string
	Seconds             float64
	Connections         int
}

// flood runs a child process that floods one pool for a fixed time.
func flood(args []string) error {
	var f flooding
	if err := json.Unmarshal([]byte(args[0]), &f); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(f.Seconds * float64(time.Second)))
	var all sync.WaitGroup
	var done, refused atomic.Int64
	for i := range f.Connections {
		all.Go(func() {
			switch f.Kind {
			case "idle connections":
				for time.Now().Before(end) {
					f.holdIdle(end)
				}
			case "bodies sent byte by byte":
				for n := 0; time.Now().Before(end); n++ {
					f.trickle(i, n, end)
				}
			default:
				f.sendBodies(i, end, &done, &refused)
			}
		})
	}
	all.Wait()
	fmt.Printf("{\"done\":%d,\"refused\":%d}\n", done.Load(), refused.Load())
	return nil
}

// dial opens a connection with a deadline at end. It returns nil if the connection fails.
func (f *flooding) dial(end time.Time) net.Conn {
	c, err := net.Dial("tcp", f.Address)
	if err != nil {
		time.Sleep(time.Millisecond)
		return nil
	}
	_ = c.SetDeadline(end)
	return c
}

// holdIdle holds a connection open without sending anything, until the server closes it or end is reached.
func (f *flooding) holdIdle(end time.Time) {
	c := f.dial(end)
	if c == nil {
		return
	}
	defer c.Close()
	_, _ = c.Read(make([]byte, 1))
}

// requestHead returns the head of request n on connection i, with a body of length bytes.
func (f *flooding) requestHead(i, n, length int) string {
	return fmt.Sprintf("POST /entry HTTP/1.1\r\nHost: %s\r\nX-Request-ID: f%d-%d-%d\r\n"+
		"X-Priority-Class: entry\r\nX-Tenant-Id: north\r\n"+
		"X-Timeout: 2000m\r\nContent-Length: %d\r\n\r\n", f.Host, i, n, time.Now().UnixNano(), length)
}

// trickle sends a request with a body of 64 KiB at one byte every 50 ms, until the connection fails.
func (f *flooding) trickle(i, n int, end time.Time) {
	c := f.dial(end)
	if c == nil {
		return
	}
	defer c.Close()
	if _, err := io.WriteString(c, f.requestHead(i, n, 64<<10)); err != nil {
		return
	}
	for {
		if _, err := c.Write([]byte{'x'}); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendBodies sends requests with bodies of 64 KiB on one connection, and counts responses and rejections.
func (f *flooding) sendBodies(i int, end time.Time, done, refused *atomic.Int64) {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 3 * time.Second}
	text := strings.Repeat("x", 64<<10)
	for n := 0; time.Now().Before(end); n++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.Address+"/entry", strings.NewReader(text))
		if err != nil {
			return
		}
		req.Host = f.Host
		for name, value := range map[string]string{
			"X-Request-ID":     fmt.Sprintf("f%d-%d-%d", i, n, time.Now().UnixNano()),
			"X-Priority-Class": "entry", "X-Tenant-Id": "north", "X-Timeout": "2000m",
		} {
			req.Header.Set(name, value)
		}
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		done.Add(1)
		if res.StatusCode == http.StatusServiceUnavailable {
			refused.Add(1)
			time.Sleep(20 * time.Millisecond) // limits the flood to about ten times the pool's limit
		}
	}
}
