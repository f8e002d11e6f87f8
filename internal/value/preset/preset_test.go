package preset

import (
	"fmt"
	"time"
)

func ExamplePositive() {
	unset, set := time.Duration(0), time.Second
	Positive(&unset, time.Minute)
	Positive(&set, time.Minute)
	fmt.Println(unset, set)
	// Output: 1m0s 1s
}
