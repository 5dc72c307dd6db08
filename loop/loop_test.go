package loop

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/briarcross/briarcross/core"
)

// doublingCore outputs each input multiplied by two.
type doublingCore struct {
	out core.Outbox[int]
}

func (d *doublingCore) Step(_ time.Time, in int) { d.out.Put(2 * in) }
func (d *doublingCore) Tick(time.Time)           {}
func (d *doublingCore) Drain() []int             { return d.out.Drain() }

func TestOutputsAreDeliveredInOrderBeforeTheCallback(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	var delivered []int
	l := Start[int, int](&doublingCore{}, time.Hour, func(out int) { delivered = append(delivered, out) })
	const inputs = 1000
	for i := range inputs {
		l.Post(i)
	}
	lastDelivered := make(chan int, 1)
	l.PostThen(inputs, func() { lastDelivered <- delivered[len(delivered)-1] })
	g.Expect(<-lastDelivered).To(Equal(2 * inputs))
	l.Close()
	for i, out := range delivered {
		g.Expect(out).To(Equal(2 * i))
	}
}

func TestWakeDeliversOutputsPutFromOutside(t *testing.T) {
	g := NewWithT(t)
	d := &doublingCore{}
	delivered := make(chan int, 1)
	l := Start[int, int](d, time.Hour, func(out int) { delivered <- out })
	defer l.Close()
	g.Expect(l.Do(func() { d.out.Put(7) })).To(BeTrue())
	l.Wake()
	g.Expect(<-delivered).To(Equal(7))
}

func TestClosedLoopRejectsInputsAndCalls(t *testing.T) {
	g := NewWithT(t)
	l := Start[int, int](&doublingCore{}, time.Hour, func(int) {})
	l.Close()
	g.Expect(l.PostThen(1, func() { t.Error("called after close") })).To(BeFalse())
	g.Expect(l.Do(func() {})).To(BeFalse())
}
