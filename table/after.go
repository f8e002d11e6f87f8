package table

// After returns the row as it is once the transaction i has written p.
func (p Put) After(i TxnID) Row {
	return Row{Key: p.Key, Version: p.Version + 1, Value: p.Value, Txns: recent(p.Txns, i)}
}

// After returns the rows that t writes, as they are once it has taken effect.
func (t Txn) After() []Row {
	l := make([]Row, 0, len(t.Puts))
	for _, p := range t.Puts {
		l = append(l, p.After(t.ID))
	}
	return l
}
