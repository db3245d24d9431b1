package lovagejob

// MintRequest asks for new keys.
type MintRequest struct {
	Service    string // service of the submissions; empty: any service
	Count      int    // number of keys
	Repeatable bool   // tasks of the submissions may run more than once, so the range of the keys needs no replica
}

// MintResult holds new keys, all from ranges of one owner.
type MintResult struct {
	Keys          []Key
	CallerAddress string // address of the owner's caller API; empty if callers cannot reach the owner
}
