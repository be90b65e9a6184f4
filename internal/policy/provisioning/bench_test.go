package provisioning

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide decides for 170 engines of a data centre and 4 models.
func BenchmarkDecide(b *testing.B) {
	models := []string{"a", "b", "c", "d"}
	demand := make(Demand)
	var engines []Engine
	for i := range 170 {
		name := models[i%len(models)]
		engines = append(engines, engine(fmt.Sprint("e", i), maxOneModel, name))
		demand[model(name)] += 0.7
	}
	var state StabilizationState
	for i := range b.N {
		_, state = Decide(start.Add(time.Duration(i)*time.Second), params, state, engines, demand)
	}
}
