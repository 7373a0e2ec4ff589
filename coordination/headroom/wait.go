package headroom

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// initialServiceTime stands for the time that a request holds a slot before any has ended.
	initialServiceTime = time.Second
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.05
	// minModelSamples is the number of samples from which the service time of a model is its own, and not that of its service.
	minModelSamples = 5
	// maxServiceTimeModels bounds the models, over all services, with a service time of their own. The least recently observed one is
	// dropped first. The largest site has 500 models.
	maxServiceTimeModels = 2048
	// maxReturnSpread bounds the time over which refused callers are asked to return.
	maxReturnSpread = 2 * time.Second
)

// ServiceTimes holds the average time for which requests hold a slot of a target of nominal speed, by service and model. Streams of
// one model can take several times as long as those of another. It is safe for concurrent use.
type ServiceTimes struct {
	mu     sync.Mutex
	means  map[string]time.Duration // by service
	models *simplelru.LRU[serviceModel, *modelTime]
}

type serviceModel struct{ service, model string }

// modelTime is the service time of a model: the mean of its first samples, then a moving average. It does not begin with the mean of
// the service, which would take 50 samples to fade from a model with short streams.
type modelTime struct {
	mean    time.Duration
	samples int
}

func (m *modelTime) observe(took time.Duration) {
	m.samples++
	m.mean += time.Duration(max(serviceTimeWeight, 1/float64(m.samples)) * float64(took-m.mean))
}

// NewServiceTimes returns service times without samples.
func NewServiceTimes() *ServiceTimes {
	models, err := simplelru.NewLRU[serviceModel, *modelTime](maxServiceTimeModels, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &ServiceTimes{means: make(map[string]time.Duration), models: models}
}

// Observe adds the time for which a request held a slot, at nominal speed. The model is empty for a service without models.
func (s *ServiceTimes) Observe(service, model string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.means[service]
	if !ok {
		mean = initialServiceTime
	}
	s.means[service] = mean + time.Duration(serviceTimeWeight*float64(took-mean))
	if model == "" {
		return
	}
	key := serviceModel{service, model}
	m, ok := s.models.Get(key)
	if !ok {
		m = &modelTime{}
		s.models.Add(key, m)
	}
	m.observe(took)
}

// Mean returns the average for a model, or that for its service while the model has too few samples.
func (s *ServiceTimes) Mean(service, model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.models.Peek(serviceModel{service, model}); ok && m.samples >= minModelSamples {
		return m.mean
	}
	if mean, ok := s.means[service]; ok {
		return mean
	}
	return initialServiceTime
}

// Copy is a copy of a model: the slots of its target, and the speed of the target relative to the nominal one.
type Copy struct {
	Slots int
	Speed float64
}

// ExpectedWait returns how long a request is expected to wait for one of the slots of the copies, all of which are taken, together with
// those that wait already. A slot serves in proportion to the speed of its target; serviceTime is that at nominal speed. Urgent requests
// wait with urgent ones only.
func ExpectedWait(own, others Queue, urgent bool, copies []Copy, serviceTime time.Duration) time.Duration {
	ahead := own.Total() + others.Total()
	if urgent {
		ahead = own.Urgent + others.Urgent
	}
	capacity := 0.0
	for _, c := range copies {
		capacity += float64(c.Slots) * c.Speed
	}
	if capacity <= 0 {
		capacity = 1
	}
	return time.Duration(float64(ahead) / capacity * float64(serviceTime))
}

// Refuse reports whether a request that would wait longer than it may is refused at once. draw is a random number in [0, 1). Of the
// requests that arrive between two reports as many are kept as can be served: if all were refused, the slots would be idle until
// the next report.
func Refuse(wait, left time.Duration, draw float64) bool {
	return wait > left && draw*float64(wait) >= float64(left)
}

// ReturnAfter returns when a refused caller should return, given how long it would have waited. draw is a random number in [0, 1). It
// spreads the callers that are refused together over as much time again, since their requests find room one after the other.
func ReturnAfter(wait time.Duration, draw float64) time.Duration {
	return wait + time.Duration(draw*float64(min(wait, maxReturnSpread)))
}
