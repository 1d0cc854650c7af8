package sidecar

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/clock"
)

func TestUnconfirmedConfigurationIsLogged(t *testing.T) {
	Convey("One entry is logged when the confirmation is too old, and one when there is a new one", t, func() {
		core, entries := observer.New(zap.WarnLevel)
		s := &Sidecar{clock: clock.NewAdjustable(), log: zap.New(core), watchClient: watch.NewClient(watch.ClientConfig{})}
		s.config.Store(config.Empty())
		state := confirmationState{confirmedAt: s.clock.Now()}
		after := func(d, age time.Duration, confirmed bool) (messages []string) {
			s.clock.Advance(d)
			s.logConfirmationAge(&state, age, confirmed, 3*time.Second)
			for _, e := range entries.TakeAll() {
				messages = append(messages, e.Message)
			}
			return messages
		}
		So(after(2*time.Second, 0, false), ShouldBeEmpty)
		So(after(2*time.Second, 0, false), ShouldResemble, []string{"configuration unconfirmed"})
		So(after(time.Second, 0, false), ShouldBeEmpty)
		So(after(time.Second, 100*time.Millisecond, true), ShouldResemble, []string{"configuration confirmed again"})
		So(after(time.Second, 1100*time.Millisecond, true), ShouldBeEmpty)
		So(after(2*time.Second, 3100*time.Millisecond, true), ShouldResemble, []string{"configuration unconfirmed"})
	})
}
