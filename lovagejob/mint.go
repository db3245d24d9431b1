package lovagejob

// MintRequest asks for new keys.
type MintRequest struct {
	Service    string // service of the submissions; empty if the keys may be for any
	Count      int
	Repeatable bool // the submissions may be repeated, so their range needs no replica
}

// Minted holds new keys, all from ranges of one instance.
type Minted struct {
	Keys          []Key
	CallerAddress string // of the caller API of the keys' owner; empty if callers cannot reach it
}
