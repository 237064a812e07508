package core

import (
	"math"
	"strconv"
	"time"
)

// Bytes is an amount of data in bytes.
type Bytes int64

// BitsPerSecond is a data rate in bits per second.
type BitsPerSecond int64

// Units of data and data rate.
const (
	Kibibyte Bytes         = 1 << 10
	Mebibyte Bytes         = 1 << 20
	Megabit  BitsPerSecond = 1_000_000
	Gigabit  BitsPerSecond = 1_000_000_000
)

// bitsPerByte converts between units of data and data rate.
const bitsPerByte = 8

// BytesPerSecond returns the rate in bytes per second.
func (b BitsPerSecond) BytesPerSecond() float64 {
	return float64(b) / bitsPerByte
}

// Milliseconds is a duration in milliseconds, as JSON and CBOR messages hold it.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisecondsOf returns d in whole milliseconds, rounded down.
func MillisecondsOf(d time.Duration) Milliseconds {
	return Milliseconds(d / time.Millisecond)
}

// ParseMilliseconds parses a positive number of milliseconds, perhaps with a fraction. A
// larger one than the limit counts as the limit. It returns false for any other text.
func ParseMilliseconds(text string, limit time.Duration) (time.Duration, bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number <= 0 {
		return 0, false
	}
	if number >= float64(limit/time.Millisecond) {
		return limit, true
	}
	return time.Duration(number * float64(time.Millisecond)), true
}

// RequestRate is a number of requests a second.
type RequestRate float64

// Weight is a relative share. In fair queueing and in Objectives a weight of 0 counts as
// 1 (OrOne); in the traffic split of a route it means no share.
type Weight float64

// OrOne returns w, or 1 where w is not positive.
func (w Weight) OrOne() float64 {
	if w <= 0 {
		return 1
	}
	return float64(w)
}

// Uptime is a time of one machine: the time since its start, which unlike the monotonic clock
// includes the time for which the machine was suspended. It is never compared with that of
// another machine.
type Uptime time.Duration

// Add returns the time after a duration.
func (u Uptime) Add(d time.Duration) Uptime {
	return u + Uptime(d)
}

// Sub returns the duration since an earlier time.
func (u Uptime) Sub(earlier Uptime) time.Duration {
	return time.Duration(u - earlier)
}
