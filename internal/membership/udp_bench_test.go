package membership

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// BenchmarkUDP measures VMs over loopback sockets in one process in real time: bytes
// sent and processor time of an idle VM, and the time from the stop of one VM without
// leaving until all others have declared it dead.
func BenchmarkUDP(b *testing.B) {
	for _, n := range []int{3, 24, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureUDP(b, n)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureUDP(b *testing.B, n int) {
	const span = 10 * time.Second
	var wg sync.WaitGroup
	defer wg.Wait()
	all := make([]*Membership, n)
	stops := make([]context.CancelFunc, n)
	var seeds []string
	for i := range all {
		udp, err := ListenUDP("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := entity.VM{ID: fmt.Sprintf("vm-%03d", i), DC: "dc", GossipAddr: udp.Addr()}
		all[i], err = New(Options{Self: self, Seeds: seeds, Keys: [][]byte{testKey}, Transport: udp})
		if err != nil {
			b.Fatal(err)
		}
		var ctx context.Context
		ctx, stops[i] = context.WithCancel(context.Background())
		defer stops[i]()
		wg.Go(func() { all[i].Run(ctx) })
		if i == 0 {
			seeds = []string{udp.Addr()}
		}
	}
	await(b, all, n, entity.VMAlive)
	sent, cpu := sentBytes(all), processTime()
	time.Sleep(span) // measurement period
	perSecond := float64(n) * span.Seconds()
	b.ReportMetric(float64(sentBytes(all)-sent)/perSecond, "sent-B/s")
	b.ReportMetric(float64((processTime()-cpu).Microseconds())/perSecond, "cpu-us/VM/s")
	stopped := time.Now()
	stops[n-1]()
	await(b, all[:n-1], 1, entity.VMDead)
	b.ReportMetric(time.Since(stopped).Seconds(), "all-dead-s")
}

// await waits until the view of each VM has the given number of VMs in a state.
func await(b *testing.B, all []*Membership, number int, state entity.VMState) {
	deadline := time.After(time.Minute)
	for _, m := range all {
		for {
			changed := m.Changed()
			seen := 0
			for _, vm := range m.View() {
				if vm.State == state {
					seen++
				}
			}
			if seen == number {
				break
			}
			select {
			case <-changed:
			case <-deadline:
				b.Fatalf("%d VMs are %s, want %d", seen, state, number)
			}
		}
	}
}

func sentBytes(all []*Membership) (sum uint64) {
	for _, m := range all {
		sum += m.metrics.sentBytes.Get()
	}
	return sum
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
