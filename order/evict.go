package order

import "container/list"

// Len returns the number of ids and their memory in bytes.
func (r *Record[R]) Len() (count, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries), r.bytes
}

// account finds or creates the state of an account.
func (r *Record[R]) account(name string) *account {
	if a := r.accounts[name]; a != nil {
		return a
	}
	if len(r.accounts) >= maxAccounts {
		r.dropAccounts()
	}
	a := &account{floor: r.floor}
	r.accounts[name] = a
	return a
}

// dropAccounts forgets the accounts without finished entries. Their floors go
// into the common one.
func (r *Record[R]) dropAccounts() {
	for n, a := range r.accounts {
		if a.finished.Len() == 0 {
			r.floor = max(r.floor, a.floor)
			delete(r.accounts, n)
		}
	}
}

// makeRoom evicts finished entries until the record has room for more. It
// reports false if that is not possible.
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

// largest returns the account whose finished entries take the most memory.
func (r *Record[R]) largest() *account {
	var m *account
	for _, a := range r.accounts {
		if a.finished.Len() > 0 && (m == nil || a.bytes > m.bytes) {
			m = a
		}
	}
	return m
}

// evict forgets a finished entry and raises the floor of its account.
func (r *Record[R]) evict(a *account, l *list.Element) {
	e := a.finished.Remove(l).(*entry[R])
	delete(r.entries, e.id)
	a.bytes -= e.bytes
	r.bytes -= e.bytes
	a.floor = max(a.floor, e.stamp)
}
