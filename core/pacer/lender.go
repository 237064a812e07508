package pacer

import (
	"math"
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

const (
	// BorrowTime is how long after its arrival a loan that another host announced may be
	// used, and a statement that it needs shares counts.
	BorrowTime = time.Second
	// needTime is how long a host that was short of shares says that it needs some.
	needTime = 2 * time.Second
	// repaymentDelay is how long a host goes without the part of its shares that it lent
	// after it announced the loan last. It exceeds BorrowTime by the 0.5 s that an announcement
	// may travel and by two intervals of Update, one at each host.
	repaymentDelay = 2250 * time.Millisecond
	// usedMargin is the part of its shares that a host keeps, as a multiple of what it uses.
	usedMargin = 1.4
	// LoanSteps is the number of steps in which a loan is stated: a host that states this
	// many lends all of its shares.
	LoanSteps = 10
	// maxLoanSteps is the largest loan, so that demand that returns is noticed.
	maxLoanSteps = 7
	// useTime is the time constant of the average use of the shares.
	useTime = 2 * time.Second
)

// Use is what a host did with its shares in the limits of upstreams since the last report.
type Use struct {
	// Sent is the number of requests to upstreams that have a limit.
	Sent int
	// OwnRate is the number of requests a second that the host's own shares allow.
	OwnRate core.RequestRate
	// IsShort says that the limits kept a request from all upstreams that could run it.
	IsShort bool
	// IsNeeded says that another host needs shares. Without that a host lends nothing.
	IsNeeded bool
}

// Lender decides which fraction of its shares one host lends to the others. A loan ends
// late: the host uses that part of its shares again only when no other one still does.
type Lender struct {
	updatedAt time.Time
	// utilization averages the use of the host's own shares, as a fraction of them. It starts
	// at 1, so that the host lends nothing before it has measured it.
	utilization float64
	// shortAt is when the host was short of shares last.
	shortAt time.Time
	// announced is the loan that other hosts are told.
	announced float64
	// past holds the announced loans of the last repaymentDelay, oldest first.
	past []announcement
}

// announcement is a loan that was announced until the next call of Update.
type announcement struct {
	at   time.Time
	loan float64
}

// Update records the use of the shares and decides on the loan anew. It should be called
// every 250 ms.
func (l *Lender) Update(use Use, now time.Time) {
	elapsed := now.Sub(l.updatedAt).Seconds()
	if l.updatedAt.IsZero() || use.OwnRate <= 0 {
		l.utilization = 1
	} else if elapsed > 0 {
		weight := 1 - math.Exp(-elapsed/useTime.Seconds())
		l.utilization += weight * (float64(use.Sent)/elapsed/float64(use.OwnRate) - l.utilization)
	}
	l.updatedAt = now
	if use.IsShort {
		l.shortAt = now
	}
	l.announced = l.affordableLoan(use)
	l.past = slices.DeleteFunc(l.past, func(a announcement) bool { return now.Sub(a.at) >= repaymentDelay })
	l.past = append(l.past, announcement{now, l.announced})
}

// affordableLoan returns the fraction of its shares that the host does not need. While it
// is short itself, it lends one step less each time.
func (l *Lender) affordableLoan(use Use) float64 {
	if use.OwnRate <= 0 || !use.IsNeeded {
		return 0
	}
	most := float64(maxLoanSteps)
	if use.IsShort {
		most = max(math.Round(LoanSteps*l.announced)-1, 0)
	}
	steps := math.Floor(LoanSteps * (1 - usedMargin*l.utilization))
	return max(0, min(steps, most)) / LoanSteps
}

// NeedsShares reports whether the host was short of shares lately, so that others should
// lend theirs.
func (l *Lender) NeedsShares(now time.Time) bool {
	return !l.shortAt.IsZero() && now.Sub(l.shortAt) < needTime
}

// Announced returns the fraction of its shares that the host lends to the others now, from
// 0 to 1.
func (l *Lender) Announced() float64 {
	return l.announced
}

// Committed returns the fraction of its shares that the host itself does not use, which is
// at least what the others may still use.
func (l *Lender) Committed() float64 {
	committed := l.announced
	for _, a := range l.past {
		committed = max(committed, a.loan)
	}
	return committed
}
