package table_test

import (
	"context"
	"fmt"

	"dandelionrock.example/dandelionrock/table"
)

func ExampleSettle() {
	c, s := context.Background(), table.NewFake()
	r, _ := s.Read(c, "home/guild/quotes/quotes-1")
	t := table.Txn{ID: table.NewTxnID(), Puts: []table.Put{r[0].Put([]byte("instance-1"))}}
	s.FailNext(table.LoseAnswer)
	fmt.Println(table.Settle(c, s, t), s.Applied(t.ID))
	// Output: <nil> 1
}
