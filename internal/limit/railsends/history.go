package railsends

import (
	"slices"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/limit/railquota"
)

// maxFilled is the greatest quota that Fill uses up. A greater one hardly binds, and its requests come in no bursts that matter.
const maxFilled = 64

// History holds the times of the latest requests that were sent to an endpoint. The zero value is empty. It is not safe for concurrent use.
type History struct {
	sends []time.Time
}

// Record records a request that was sent at the given time, or will have been sent by then, and drops those that have left the quota's window.
func (h *History) Record(q railquota.Quota, now, sentAt time.Time) {
	h.drop(now.Add(-q.Window))
	h.sends = append(h.sends, sentAt)
	slices.SortFunc(h.sends, time.Time.Compare) // The last one may be that of a request that was sent before the limit was known.
}

// Fill replaces what is recorded by requests that use up the quota, spread evenly over its window before now. phase, from 0 to below 1, is the part
// of the time between two of them that has passed since the last. A quota over maxFilled is left unused.
func (h *History) Fill(q railquota.Quota, now time.Time, phase float64) {
	h.sends = nil
	if q.Requests <= 0 || q.Requests > maxFilled {
		return
	}
	between := q.Window / time.Duration(q.Requests)
	last := now.Add(-time.Duration(phase * float64(between)))
	for n := range q.Requests {
		h.sends = append(h.sends, last.Add(-time.Duration(q.Requests-1-n)*between))
	}
}

func (h *History) drop(before time.Time) {
	kept := slices.IndexFunc(h.sends, func(at time.Time) bool { return at.After(before) })
	if kept < 0 {
		kept = len(h.sends)
	}
	h.sends = h.sends[kept:]
}

// OpensAt returns the earliest time from now on at which the quota allows a request. The quota must allow any.
func (h *History) OpensAt(q railquota.Quota, now time.Time) time.Time {
	return opensAt(h.sends, q, now)
}

// CountBy returns how many requests the quota allows between two times, or atMost if that is less. Each of them but one that may be sent at once
// is sent after a delay.
func (h *History) CountBy(q railquota.Quota, from, by time.Time, delay time.Duration, atMost int) int {
	if q.Requests <= 0 {
		return 0
	}
	sends := slices.Clone(h.sends)
	for n := range atMost {
		next := opensAt(sends, q, from)
		if next.After(from) {
			next = next.Add(delay)
		}
		if next.After(by) {
			return n
		}
		sends = append(sends, next)
	}
	return atMost
}

// Count returns the number of requests in the quota's window before now.
func (h *History) Count(q railquota.Quota, now time.Time) int {
	n := 0
	for _, at := range slices.Backward(h.sends) {
		if now.Sub(at) >= q.Window {
			break
		}
		n++
	}
	return n
}

func opensAt(sends []time.Time, q railquota.Quota, now time.Time) time.Time {
	n := len(sends)
	if n == 0 {
		return now
	}
	opens := latest(now, sends[n-1].Add(q.Spacing()))
	if n >= q.Requests {
		opens = latest(opens, sends[n-q.Requests].Add(q.Window))
	}
	return opens
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
