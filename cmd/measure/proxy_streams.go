package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	bulkSize        = 8 << 20 // bytes of a large response, and of a large request body
	bulkConcurrency = 8       // concurrent transfers
)

// measureStreams measures the transfer of response and request bodies of 8 MiB, alternately through the daemon and
// through the standard library's reverse proxy.
func measureStreams(short bool) (string, []string, error) {
	b, err := newBenchOf("bulk", 1000, 20000)
	if err != nil {
		return "", nil, err
	}
	defer b.close()
	proxy, proxyAt, err := b.startProxy()
	if err != nil {
		return "", nil, err
	}
	defer proxy.kill()
	rounds, each := 7, 64
	if short {
		rounds, each = 3, 16
	}
	f := make(metrics)
	for round := range rounds {
		for _, up := range []bool{false, true} {
			way := map[bool]string{false: "down", true: "up"}[up]
			for _, subject := range []struct {
				name, at string
				p        *process
			}{{"proxy", proxyAt, proxy}, {"daemon", b.at, b.daemon}} {
				before, _, err := usage(subject.p.cmd.Process.Pid)
				if err != nil {
					return "", nil, err
				}
				begun := time.Now()
				if err := bulk(subject.at, up, each, round); err != nil {
					return "", nil, fmt.Errorf("%s, %s: %w", subject.name, way, err)
				}
				took := time.Since(begun)
				after, rss, err := usage(subject.p.cmd.Process.Pid)
				if err != nil {
					return "", nil, err
				}
				mib := float64(each*bulkSize) / (1 << 20)
				f.add(subject.name+way+"rate", mib/took.Seconds())
				f.add(subject.name+way+"cpu", float64((after-before).Microseconds())/mib)
				f.add(subject.name+way+"rss", float64(rss)/(1<<20))
			}
		}
	}
	result := ""
	for _, way := range []string{"down", "up"} {
		rate, cpu := f["daemon"+way+"rate"].over(f["proxy"+way+"rate"]),
			f["daemon"+way+"cpu"].over(f["proxy"+way+"cpu"])
		fmt.Printf("8 MiB %s: daemon over proxy: throughput %v (%v MiB/s), CPU per MiB %v; RSS daemon %v, proxy %v MiB\n",
			way, rate, f["daemon"+way+"rate"], cpu, f["daemon"+way+"rss"], f["proxy"+way+"rss"])
		result += fmt.Sprintf("%s_rate_ratio=%.2f %s_cpu_ratio=%.2f %s_rss=%.1f ", way, rate.median(), way,
			cpu.median(), way, f["daemon"+way+"rss"].median())
	}
	return result, nil, nil
}

// bulk makes a number of transfers, bulkConcurrency at a time.
func bulk(address string, up bool, each, round int) error {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bulkConcurrency,
		DisableCompression: true}, Timeout: time.Minute}
	defer client.CloseIdleConnections()
	failed := make(chan error, each)
	work := make(chan int)
	var all sync.WaitGroup
	for range bulkConcurrency {
		all.Go(func() {
			for n := range work {
				failed <- transfer(&client, address, up,
					fmt.Sprintf("b-%v-%d-%d-%d", up, round, n, time.Now().UnixNano()))
			}
		})
	}
	for n := range each {
		work <- n
	}
	close(work)
	all.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// transfer sends a large request body if up is set, otherwise it requests a large response.
func transfer(client *http.Client, address string, up bool, id string) error {
	size := int64(len(body))
	if up {
		size = bulkSize
	}
	query := "?answer=large"
	if up {
		query = ""
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/entry"+query, io.LimitReader(zeros{}, size))
	if err != nil {
		return err
	}
	req.ContentLength = size
	h := req.Header
	h["X-Request-Id"], h["X-Priority-Class"], h["X-Tenant-Id"], h["X-Timeout"] = []string{id},
		[]string{"entry"}, []string{"north"}, []string{"2000m"}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && (res.StatusCode != http.StatusOK || !up && n != bulkSize) {
		err = fmt.Errorf("got status %s and %d bytes", res.Status, n)
	}
	return err
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
