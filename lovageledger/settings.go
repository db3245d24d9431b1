package lovageledger

import (
	"math/rand/v2"
	"time"
)

// Settings configures a Ledger. A zero field takes its default; a negative number of ranges means that
// the instance owns no ranges of that kind.
type Settings struct {
	Instance   string     // ID of this instance; must change at each restart of the process
	DataCentre string     // data centre whose ranges this instance claims
	Address    string     // written to the instance row, for operators
	Rand       *rand.Rand // source of nonces; required

	UnreplicatedRanges int // number of ranges to own without a replica, for repeatable jobs; default 1
	ReplicatedRanges   int // number of ranges to own with a replica while a peer is available; default 1

	LeaseTTL         time.Duration // lifetime of the lease in the instance row; default 6 s
	RenewInterval    time.Duration // interval of renewals of the instance row; default 2 s
	ScanInterval     time.Duration // interval of table scans while every owner is live; default 30 s
	KeyLifetime      time.Duration // a key older than this never starts; default 15 min
	AnswerRetention  time.Duration // time for which a full answer is kept after the job's end; default 60 s
	MaxAnswerBytes   int           // bound on the memory of full answers; the oldest are dropped first; default 32 MiB
	MaxRecords       int           // most records; then the oldest ended ones are evicted, or no key is minted; default 500,000
	MinRecordAge     time.Duration // records of keys younger than this are not evicted; default 2 min
	AcceptTimeout    time.Duration // an unacknowledged accept batch is sent again after this; default 500 ms
	ResultAckTimeout time.Duration // most time that an answer waits for the replica's acknowledgement; default 50 ms
	ReplicaTimeout   time.Duration // a replica that acknowledges nothing for this long is dropped (Rule D); default 2 s
	RetryBackoff     time.Duration // delay before a failed table or peer operation is retried; default 1 s
	MaxBatchKeys     int           // most keys in one batch of accepts or results; default 1,000
	MaxChunkRecords  int           // most records in one transfer chunk; default 1,000
	MaxBlocked       int           // most submissions per range that wait for a table change; default 10,000
}

// withDefaults sets every unset field to its default.
func (se Settings) withDefaults() Settings {
	setDefault(&se.UnreplicatedRanges, 1)
	setDefault(&se.ReplicatedRanges, 1)
	setDefault(&se.LeaseTTL, 6*time.Second)
	setDefault(&se.RenewInterval, 2*time.Second)
	setDefault(&se.ScanInterval, 30*time.Second)
	setDefault(&se.KeyLifetime, 15*time.Minute)
	setDefault(&se.AnswerRetention, time.Minute)
	setDefault(&se.MaxAnswerBytes, 32<<20)
	setDefault(&se.MaxRecords, 500_000)
	setDefault(&se.MinRecordAge, 2*time.Minute)
	setDefault(&se.AcceptTimeout, 500*time.Millisecond)
	setDefault(&se.ResultAckTimeout, 50*time.Millisecond)
	setDefault(&se.ReplicaTimeout, 2*time.Second)
	setDefault(&se.RetryBackoff, time.Second)
	setDefault(&se.MaxBatchKeys, 1000)
	setDefault(&se.MaxChunkRecords, 1000)
	setDefault(&se.MaxBlocked, 10_000)
	return se
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
