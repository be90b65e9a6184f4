package vm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/membership"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/placement"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/system/queue"
)

func TestQueuePolicy_DefaultSettingsSelectTheDefaultPolicy(t *testing.T) {
	is := is.New(t)
	is.Equal(queuePolicy(settings.Default()), queue.DefaultPolicy())
}

func TestQueuePolicy_SettingsTakeEffect(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	s.Policy.QueueDiscipline = settings.DisciplineFirstCome
	s.Policy.Placement = settings.PlacementPlain
	s.Policy.AgeingTime = 10 * time.Second
	s.Engine.MaxConcurrent = 4
	p := queuePolicy(s)
	is.Equal(p.Queue.Discipline, discipline.KindFCFS)
	is.Equal(p.Placement.Placer, placement.KindRoundRobin)
	is.Equal(p.Queue.Fair.AgeingRate*10, float64(p.Queue.Fair.MaxAttained))
	is.Equal(p.Queue.Permits.Max, 4)
	is.Equal(p.Queue.Permits.Initial, 4)
}

func TestTiming_SettingsTakeEffect(t *testing.T) {
	is := is.New(t)
	is.Equal(membershipTiming(settings.Default().Membership), membership.DefaultTiming())
	got := membershipTiming(settings.Membership{ProbeInterval: 3 * time.Second, ProbeTimeout: time.Second, SuspicionTimeout: 2 * time.Second})
	is.Equal(got.ProbeInterval, 3*time.Second)
	is.Equal(got.AckTimeout, time.Second)
	is.Equal(got.SuspicionTimeout, 2*time.Second)
}
