package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/stub"
)

// counts holds the numbers of requests, orders and violations of an experiment.
type counts struct {
	Requests    int `json:"requests"`
	Orders      int `json:"orders"`
	Unknown     int `json:"unknown"`
	Lost        int `json:"lost"`
	Twice       int `json:"twice"`
	FalseNotRun int `json:"false-not-run"`
	Wrong       int `json:"wrong"`
}

func (c *counts) add(o counts) {
	c.Requests += o.Requests
	c.Orders += o.Orders
	c.Unknown += o.Unknown
	c.Lost += o.Lost
	c.Twice += o.Twice
	c.FalseNotRun += o.FalseNotRun
	c.Wrong += o.Wrong
}

// order is an order with the outcomes of all its attempts.
type order struct {
	id       string
	outcomes []string
}

// countViolations counts the orders whose outcomes contradict their numbers of
// executions at the upstreams, and those whose outcome is unknown. runs holds the
// numbers of executions by order id.
func countViolations(orders []order, runs map[string]uint64) counts {
	c := counts{Orders: len(orders)}
	for _, o := range orders {
		var answered, other bool
		for _, x := range o.outcomes {
			answered = answered || x == header.Answered
			other = other || x != header.Answered && x != header.NotRun
		}
		n := runs[o.id]
		switch {
		case answered && n == 0:
			c.Lost++
		case !answered && !other && n > 0:
			c.FalseNotRun++
		}
		if n > 1 {
			c.Twice++
		}
		if !answered && other {
			c.Unknown++
		}
	}
	return c
}

// readRuns reads the numbers of executions that a group of stand-ins has counted.
func readRuns(address string) (*stub.Runs, error) {
	c := http.Client{Timeout: 5 * time.Second}
	a, err := c.Get("http://" + address + "/runs")
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return nil, errors.Newf("runs: status %d", a.StatusCode)
	}
	r := &stub.Runs{}
	return r, json.NewDecoder(a.Body).Decode(r)
}

// save appends the counts of an experiment to a file, unless its name is empty.
func (c *counts) save(file string) error {
	if file == "" {
		return nil
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(append(b, '\n'))
	return errors.CombineErrors(err, f.Close())
}

type countsCommand struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of the experiments"`
	Figures string `long:"figures" description:"names of the figures to print"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *countsCommand) Execute([]string) error {
	f, err := os.Open(c.Args.File)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	var t counts
	for s := bufio.NewScanner(f); s.Scan(); {
		var x counts
		if err := json.Unmarshal(s.Bytes(), &x); err != nil {
			return err
		}
		t.add(x)
	}
	p := newPrinter(common{Seed: c.Seed, Figures: c.Figures})
	if t.Orders > 0 {
		n := fmt.Sprintf("%d orders, of which %d have an unknown outcome", t.Orders, t.Unknown)
		p.print("orders-lost", float64(t.Lost), "orders", n)
		p.print("orders-run-twice", float64(t.Twice), "orders", n)
		p.print("false-not-run", float64(t.FalseNotRun), "orders", n)
	}
	p.print("wrong-answers", float64(t.Wrong), "answers", fmt.Sprintf("%d requests", t.Requests))
	return nil
}
