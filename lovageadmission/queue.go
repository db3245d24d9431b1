package lovageadmission

import (
	"slices"
	"time"
)

// admission is what has been decided about connections, of which their clients are to be told without the account's lock.
type admission struct {
	admitted, refused, dropped []*Connection
}

// tell tells the clients, but not that of the connection that is being opened.
func (ad *admission) tell(opening *Connection) {
	callDrops(ad.dropped)
	for _, co := range ad.refused {
		co.client.Refuse()
	}
	for _, co := range ad.admitted {
		if co != opening {
			co.client.Admit()
		}
	}
}

// hasPlace reports whether another connection has room beside those that are not dropped, and few enough dropped ones are still open.
func (ac *Account) hasPlace() bool {
	limit := ac.se.Connections
	return len(ac.connections)-ac.numDropped < limit && ac.mayOpen()
}

func (ac *Account) mayOpen() bool {
	limit := ac.se.Connections
	return len(ac.connections) < limit+max(limit/overdraft, 1)
}

// admitWaiting gives places to connections in the order in which they have come. Without a free place, it drops connections for them.
func (ac *Account) admitWaiting(now time.Time) (ad admission) {
	for len(ac.queue) > 0 {
		if !ac.hasPlace() {
			if !ac.mayOpen() {
				return ad
			}
			victim := ac.slowest(now, nil, func(*Connection) bool { return true })
			if victim == nil {
				return ad
			}
			ac.markDropped(victim, ReasonConnections)
			ad.dropped = append(ad.dropped, victim)
			continue
		}
		co := ac.shiftQueue()
		co.state, co.since, co.lastProgress, co.index = stateWaiting, now, now, len(ac.connections)
		ac.connections = append(ac.connections, co)
		ad.admitted = append(ad.admitted, co)
	}
	return ad
}

// shiftQueue removes the oldest connection of the queue.
func (ac *Account) shiftQueue() *Connection {
	co := ac.queue[0]
	ac.queue[0] = nil
	ac.queue = ac.queue[1:]
	ac.noteQueueRoom()
	return co
}

func (ac *Account) noteQueueRoom() {
	select {
	case ac.queueRoom <- struct{}{}:
	default:
	}
}

// leave removes the connection and releases all that it holds. The caller holds the account's lock.
func (co *Connection) leave() {
	ac := co.ac
	switch {
	case co.state == stateQueued:
		ac.queue = slices.DeleteFunc(ac.queue, func(other *Connection) bool { return other == co })
		co.state = stateWaiting
		ac.noteQueueRoom()
		return
	case co.state == stateRefused:
		ac.numRefused--
		co.state = stateWaiting
		ac.noteQueueRoom()
		return
	case co.index < 0:
		return
	}
	co.setHeaderBytes(0)
	co.setRequestBytes(0)
	if co.dropped != ReasonNone {
		ac.numDropped--
	}
	last := len(ac.connections) - 1
	ac.connections[co.index] = ac.connections[last]
	ac.connections[co.index].index = co.index
	ac.connections[last] = nil
	ac.connections, co.index = ac.connections[:last], -1
}
