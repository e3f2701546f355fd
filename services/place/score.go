// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package place

import "rillsail.example/rillsail/models"

// Weights of the parts of the score; each part is between 0 and 1.
const (
	weightSpread          = 4.0 // places the replicas of a service on different VMs
	weightQuietNeighbours = 2.0 // places services where batch tasks slow them down least
	weightPacking         = 1.0 // places batch tasks on the fullest VM
	weightHeadroom        = 3.0 // places batch tasks where services keep the most headroom
)

// assumedSlowdown is the slowdown assumed for a pair that was never observed. A worker tries one such pair at a time.
const assumedSlowdown = 0.15

// usableHeadroom is the fraction of a service's headroom that placement may use; the rest allows for prediction errors.
const usableHeadroom = 0.8

// score rates a worker that may hold the task; why is set when the policy excludes the worker.
func (r Request) score(w *Worker) (score float64, why string) {
	switch r.Policy.(type) {
	case FirstFit:
		return r.spread(w), "" // scores matter only for services, as batch tasks take the first worker
	case Feedback:
		return r.scoreFeedback(w)
	default:
		return r.scorePairs(w)
	}
}

func (r Request) scoreFeedback(w *Worker) (float64, string) {
	if r.Task.Kind == models.TaskBatch && w.ServiceOverTarget {
		return 0, "a service there is over its target"
	}
	if r.Task.Kind == models.TaskService {
		return weightSpread*r.spread(w) + weightQuietNeighbours*freeCPUFraction(w), ""
	}
	return weightPacking * freeCPUFraction(w), "" // without predictions, prefer the emptiest worker
}

func (r Request) scorePairs(w *Worker) (float64, string) {
	if r.Task.Kind == models.TaskService {
		return weightSpread*r.spread(w) + weightQuietNeighbours*r.neighbourQuiet(w), ""
	}
	if w.ServiceOverTarget {
		return 0, "a service there is over its target"
	}
	left, why := r.headroomLeft(w)
	if why != "" {
		return 0, why
	}
	return weightHeadroom*left + weightPacking*usedCPUFraction(w), ""
}

// spread returns 1 when no other replica of the task's service is on the worker, and less the more there are.
func (r Request) spread(w *Worker) float64 {
	same := 0
	for _, other := range w.Tasks {
		if other.Kind == models.TaskService && other.Service == r.Task.Service {
			same++
		}
	}
	return 1 / float64(1+same)
}

// neighbourQuiet returns 1 when no batch task on the worker is expected to slow the service down, and less the larger
// the expected slowdown.
func (r Request) neighbourQuiet(w *Worker) float64 {
	total := 0.0
	for _, other := range w.Tasks {
		if other.Kind == models.TaskBatch {
			total += r.slowdown(r.Task.Labels, other.Labels)
		}
	}
	return 1 / (1 + total)
}

func (r Request) slowdown(service, batch map[string]string) float64 {
	fraction, known := r.Predict.Slowdown(service, batch)
	if !known {
		return assumedSlowdown
	}
	return fraction
}

// headroomLeft returns the smallest fraction of headroom that a service on the worker keeps if the batch task is placed
// there. why is set when a service would exceed its target, or when the worker already tries an unknown pair.
func (r Request) headroomLeft(w *Worker) (left float64, why string) {
	left = 1
	for _, service := range w.Tasks {
		if service.Kind != models.TaskService {
			continue
		}
		headroom, known := r.Predict.Headroom(service.Labels)
		if !known {
			if w.TryingUnknownPair {
				return 0, "a service there has not been measured yet"
			}
			continue
		}
		if _, known := r.Predict.Slowdown(service.Labels, r.Task.Labels); !known && w.TryingUnknownPair {
			return 0, "an unknown pair is being tried there"
		}
		used := r.slowdown(service.Labels, r.Task.Labels)
		for _, other := range w.Tasks {
			if other.Kind == models.TaskBatch {
				used += r.slowdown(service.Labels, other.Labels)
			}
		}
		if used > headroom*usableHeadroom {
			return 0, "it would slow down " + string(service.Service) + " beyond its target"
		}
		left = min(left, 1-used/max(headroom, 0.01))
	}
	return left, ""
}

// usedCPUFraction returns the fraction of the worker's processor capacity that is reserved by tasks.
func usedCPUFraction(w *Worker) float64 { return 1 - freeCPUFraction(w) }

func freeCPUFraction(w *Worker) float64 {
	if w.VM.Capacity.CPU == 0 {
		return 0
	}
	return float64(w.Free.CPU) / float64(w.VM.Capacity.CPU)
}
