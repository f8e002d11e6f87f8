package order

import "container/list"

// Len returns the number of recorded ids and the memory of the record in bytes.
func (r *Record[R]) Len() (count, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries), r.bytes
}

// account returns the state of an account and creates it if necessary.
func (r *Record[R]) account(name string) *account {
	if a := r.accounts[name]; a != nil {
		return a
	}
	if len(r.accounts) >= maxAccounts {
		r.dropAccounts()
	}
	a := &account{maxEvicted: r.maxEvicted}
	r.accounts[name] = a
	return a
}

// dropAccounts deletes the accounts without finished entries. Their maxEvicted is
// merged into that of the record.
func (r *Record[R]) dropAccounts() {
	for n, a := range r.accounts {
		if a.finished.Len() == 0 {
			r.maxEvicted = max(r.maxEvicted, a.maxEvicted)
			delete(r.accounts, n)
		}
	}
}

// makeRoom evicts finished entries until count more entries with a total size of
// bytes fit into the record. It returns false if all remaining entries are
// running. The caller holds mu.
func (r *Record[R]) makeRoom(count, bytes int) bool {
	for len(r.entries)+count > r.options.Count || r.bytes+bytes > r.options.Bytes {
		a := r.largest()
		if a == nil {
			return false
		}
		r.evict(a, a.finished.Front())
	}
	return true
}

// largest returns the account whose finished entries use the most memory, or nil
// if there is no finished entry.
func (r *Record[R]) largest() *account {
	var m *account
	for _, a := range r.accounts {
		if a.finished.Len() > 0 && (m == nil || a.bytes > m.bytes) {
			m = a
		}
	}
	return m
}

// evict removes a finished entry and raises maxEvicted of its account.
func (r *Record[R]) evict(a *account, l *list.Element) {
	e := a.finished.Remove(l).(*entry[R])
	delete(r.entries, e.id)
	a.bytes -= e.bytes
	r.bytes -= e.bytes
	a.maxEvicted = max(a.maxEvicted, e.created)
}
