package admitter

import (
	"math"
	"time"
)

const (
	// bucketTime is the resolution of the times at which callers are asked to return.
	bucketTime = 100 * time.Millisecond
	// calendarBuckets bounds how far ahead returns are entered.
	calendarBuckets = 64
)

// calendar counts the returns that this entry has asked callers for, by the time at which they are due and their standing; its zero value is ready
// to use.
type calendar struct {
	buckets map[int64]map[int]int
}

// bucketOf returns the number of the bucket that holds a time.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucketTime) }

// enter counts a return that is due at the given time, and forgets those that are past.
func (calendar *calendar) enter(now, due time.Time, standing int) {
	if calendar.buckets == nil {
		calendar.buckets = map[int64]map[int]int{}
	}
	first := bucketOf(now)
	for number := range calendar.buckets {
		if number < first {
			delete(calendar.buckets, number)
		}
	}
	number := min(bucketOf(due), first+calendarBuckets)
	if calendar.buckets[number] == nil {
		calendar.buckets[number] = map[int]int{}
	}
	calendar.buckets[number][standing]++
}

// due counts the returns of a standing below the given one that are due within a time from now on.
func (calendar *calendar) due(now time.Time, within time.Duration, standing int) (count int) {
	first := bucketOf(now)
	for number := first; number <= min(bucketOf(now.Add(within)), first+calendarBuckets); number++ {
		count += calendar.count(number, standing)
	}
	return count
}

// count counts the returns of a standing below the given one in a bucket.
func (calendar *calendar) count(number int64, standing int) (count int) {
	for other, returns := range calendar.buckets[number] {
		if other < standing {
			count += returns
		}
	}
	return count
}

// firstFree returns the first time from now on, between the two given ones, by which the room that is left to returns suffices for those of the same
// or a better standing and one more, and false if there is none; room appears from the first time on, in requests a second.
func (calendar *calendar) firstFree(now time.Time, from, to time.Duration, standing int, roomPerSecond float64) (time.Duration, bool) {
	next := bucketOf(now)
	ahead, last := 0, next+calendarBuckets
	for wait := from; wait <= to; wait += bucketTime {
		for ; next <= min(bucketOf(now.Add(wait)), last); next++ {
			ahead += calendar.count(next, standing+1)
		}
		if float64(ahead) <= roomPerSecond*(wait-from).Seconds() {
			return wait, true
		}
		if next > last {
			return firstBehind(ahead, from, to, roomPerSecond)
		}
	}
	return 0, false
}

// firstBehind is firstFree where all returns are counted; a caller may have hours left.
func firstBehind(ahead int, from, to time.Duration, roomPerSecond float64) (time.Duration, bool) {
	steps := math.Ceil(float64(ahead) / roomPerSecond / bucketTime.Seconds())
	if roomPerSecond <= 0 || steps > float64((to-from)/bucketTime) {
		return 0, false
	}
	return from + time.Duration(steps)*bucketTime, true
}
