package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// orderSteps is the number of steps in which the configuration grows before the orders.
	orderSteps = 39
	// ordersAtOnce is the largest number of orders that may be under way at once.
	ordersAtOnce = 8
	// calmRounds is the number of rounds, of one order each, without the disruption.
	calmRounds = 6
	// orderTimeout is the time that an operator waits for an answer.
	orderTimeout = 8 * time.Second
	// orderPause is the time between two rounds.
	orderPause = 2 * time.Second
)

// operator sends orders to the core machines.
type operator struct {
	deployment *deployment
	client     http.Client
}

// order sends an order to a machine and returns the status of the answer, or 0 and an error.
func (o *operator) order(m *machine, path string, order map[string]any) (int, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, err
	}
	url := "http://" + m.address(o.deployment.ports.control) + "/api/configuration/" + path
	response, err := o.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// update adds items to the configuration. It repeats the order unchanged until it is acknowledged.
func (o *operator) update(items []any) error {
	d := o.deployment
	end := d.waitLimit()
	for i := 0; time.Now().Before(end); i++ {
		status, err := o.order(d.core[i%len(d.core)], "update", map[string]any{
			"configVersion": d.version + 1, "baseVersion": d.version, "upsert": map[string]any{"resources": items},
		})
		if status == http.StatusOK {
			d.version++
			return nil
		}
		if status/100 == 4 {
			return fmt.Errorf("update refused with %d", status)
		}
		d.record.printf("update: status %d, %v; it is sent again", status, err)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the update was not acknowledged")
}

// readVersion reads the version in force from any core machine.
func (o *operator) readVersion() error {
	d := o.deployment
	end := d.waitLimit()
	for i := 0; time.Now().Before(end); i++ {
		var document struct{ ConfigVersion int64 }
		url := "http://" + d.core[i%len(d.core)].address(d.ports.control) + "/api/configuration/describe"
		response, err := o.client.Get(url)
		if err == nil {
			err = json.NewDecoder(response.Body).Decode(&document)
			response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				d.version = document.ConfigVersion
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no core machine describes the configuration")
}

// ordersCase lets the configuration grow, and then sends several whole configurations at once, which build on the same
// version. It watches the memory of the core.
func ordersCase(rec *record, trouble bool) (string, error) {
	c := &configuration{}
	c.grow(baseRoutes)
	d, err := startMemory(rec, c)
	if err != nil {
		return "", err
	}
	defer d.end()
	p := newPlatform(d)
	o := &operator{deployment: d, client: http.Client{Timeout: orderTimeout}}
	for range orderSteps {
		before := len(c.routes)
		c.grow(routesPerStep)
		if err := o.update(c.routes[before:]); err != nil {
			return "", err
		}
	}
	rec.printf("%d routes; %s", len(c.routes), p.summary())

	atOnce := ordersAtOnce
	if !trouble {
		atOnce = 1
	}
	for round := 0; rec.since() < caseLimit-orderTimeout && !p.fault() && (trouble || round < calmRounds); round++ {
		var orders sync.WaitGroup
		for number := range atOnce {
			c.changeTimeout(round*atOnce + number)
			order := map[string]any{
				"configVersion": d.version + 1 + int64(number), "baseVersion": d.version, "resources": c.resources(),
			}
			orders.Go(func() {
				m := d.core[number%len(d.core)]
				status, err := o.order(m, "replace", order)
				rec.printf("round %d, order of version %d by %s: status %d, %v", round, order["configVersion"], m.name, status, err)
			})
		}
		orders.Wait()
		rec.printf("round %d: %s", round, p.summary())
		time.Sleep(orderPause)
		if err := o.readVersion(); err != nil {
			rec.printf("round %d: %v", round, err)
		}
	}
	p.stop()
	if p.fault() {
		return "half of the core ended three times for memory: " + p.summary(), nil
	}
	return "", nil
}
