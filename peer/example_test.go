package peer_test

import (
	"fmt"
	"time"

	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
)

func ExampleDetector() {
	now := peer.Time(time.Hour)
	d := peer.New(peer.Config{Self: peer.Instance{ID: "a", Region: "hobart"}})
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		d.RecordHeartbeat(now, &schema.HeartbeatRequest{InstanceId: "b", Incarnation: "1", Region: "hobart"})
		d.Tick(now)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		for _, c := range d.Tick(now) {
			fmt.Println(c.Instance.ID, "was", c.Before, "and is", c.Instance.State, "after", now.Sub(c.Instance.LastHeartbeat))
		}
	}
	fmt.Println(d.Runs(now, "b", "1"), len(d.Live()))
	// Output:
	// b was live and is suspect after 500ms
	// false 1
}

func ExampleSuccessor() {
	live := []peer.Instance{
		{ID: "a", Region: "hobart", FailureDomain: "1"},
		{ID: "b", Region: "hobart", FailureDomain: "2"},
		{ID: "c", Region: "burnie", FailureDomain: "1"},
	}
	at := peer.Place{Region: "hobart", FailureDomain: "1"}
	for _, i := range peer.Successor("home/guild/quotes/quotes-1", at, live) {
		fmt.Println(i.ID)
	}
	// Output:
	// b
	// a
	// c
}
