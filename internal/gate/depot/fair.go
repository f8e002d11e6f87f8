package depot

// Account identifies a client account.
type Account uint64

const (
	// mediumBody is the length in bytes up to which a body may use all of the memory.
	mediumBody = 1 << 20
	// mediumReserve is the memory divided by the part that is kept for such bodies. With
	// 256 MiB a body of 64 MiB still fits beside it.
	mediumReserve = 12
)

// admits reports whether a body that holds some bytes gets n more, given those that may be
// used, are used, and are used by other bodies of the same client account. A long body
// leaves room for shorter ones, and an account with several bodies gets at most half of
// the memory and of what is free, so that it doesn't keep others out.
func admits(limit, used, account, held, n int64) bool {
	free := limit - used
	if held+n > mediumBody {
		free -= limit / mediumReserve
	}
	if account > 0 {
		free = min(free/2, limit/2-account-held)
	}
	return n <= free
}
