package speed

import (
	"math"
	"slices"
)

const (
	// priorWeight is the weight of the assumption that a target is as fast as the others, in samples. It keeps targets that share no
	// model with others at 1, and bounds the error where only a pair with few samples connects groups of targets: such a pair may
	// have been seen in a slow phase only.
	priorWeight = 5
	// fitRounds is the number of times that outliers get smaller weights and the factors are solved for again.
	fitRounds = 6
	// outlierResidual is the residual, in the logarithm, from which the weight of a pair falls with its residual, so that it counts
	// as in a median and not as in a mean.
	outlierResidual = 0.1
	// maxSolverSteps and solverTolerance bound the steps of the solver and the residual at which it ends.
	maxSolverSteps  = 200
	solverTolerance = 1e-6
)

// maxResidual clamps gaps to 1/8 to 8 times the factor of their model.
var maxResidual = math.Log(8)

// edge is a pair of target and model with samples.
type edge struct {
	target, model  int
	logGap, weight float64
}

// fit explains the gaps of pairs by a factor for each model and one for each target: in the logarithm, gap = model + target. The sum
// of the squared residuals is the least, with smaller weights for outliers.
type fit struct {
	targets, models int
	edges           []edge

	gaps, weights []float64 // by edge: clamped gap, and weight in the current round
	ofModel       []float64
	modelWeights  []float64
}

// solve returns the factors of the targets in the logarithm, with a median of 0 over those that share a model with another one, and 0
// for the others.
func (f *fit) solve() []float64 {
	f.gaps, f.weights = make([]float64, len(f.edges)), make([]float64, len(f.edges))
	f.ofModel, f.modelWeights = make([]float64, f.models), make([]float64, f.models)
	for i, e := range f.edges {
		f.gaps[i], f.weights[i] = e.logGap, e.weight
	}
	ofTarget := make([]float64, f.targets)
	for range fitRounds {
		f.solveTargets(ofTarget)
		f.updateModels(ofTarget)
		for i, e := range f.edges {
			expected := f.ofModel[e.model] + ofTarget[e.target]
			f.gaps[i] = min(max(e.logGap, f.ofModel[e.model]-maxResidual), f.ofModel[e.model]+maxResidual)
			f.weights[i] = e.weight * min(1, outlierResidual/math.Abs(f.gaps[i]-expected))
		}
	}
	compared := f.compared()
	var sorted []float64
	for t, factor := range ofTarget {
		if compared[t] {
			sorted = append(sorted, factor)
		}
	}
	slices.Sort(sorted)
	for t := range ofTarget {
		if compared[t] {
			ofTarget[t] -= quantile(sorted, 0.5)
		} else {
			ofTarget[t] = 0
		}
	}
	return ofTarget
}

// compared reports which targets share a model with another one. The others count as median targets: their factor of 0 is the mean of
// the others, which is far from the median where most targets are slow or fast.
func (f *fit) compared() []bool {
	targets := make([]int, f.models)
	for _, e := range f.edges {
		targets[e.model]++
	}
	compared := make([]bool, f.targets)
	for _, e := range f.edges {
		compared[e.target] = compared[e.target] || targets[e.model] > 1
	}
	return compared
}

// updateModels sets the factors of models to the best ones for the factors of targets.
func (f *fit) updateModels(ofTarget []float64) {
	f.modelMeans(func(i int) float64 { return f.gaps[i] - ofTarget[f.edges[i].target] })
}

// modelMeans sets ofModel to the weighted mean over the edges of each model.
func (f *fit) modelMeans(of func(edge int) float64) {
	clear(f.ofModel)
	clear(f.modelWeights)
	for i, e := range f.edges {
		f.ofModel[e.model] += f.weights[i] * of(i)
		f.modelWeights[e.model] += f.weights[i]
	}
	for m, weight := range f.modelWeights {
		if weight > 0 {
			f.ofModel[m] /= weight
		}
	}
}

// apply multiplies the matrix of the least squares problem, from which the factors of models are eliminated, with x.
func (f *fit) apply(x, result []float64) {
	f.modelMeans(func(i int) float64 { return x[f.edges[i].target] })
	for t := range result {
		result[t] = priorWeight * x[t]
	}
	for i, e := range f.edges {
		result[e.target] += f.weights[i] * (x[e.target] - f.ofModel[e.model])
	}
}

// solveTargets improves the factors of targets by conjugate gradients with a diagonal preconditioner.
func (f *fit) solveTargets(x []float64) {
	residual, direction, product := make([]float64, f.targets), make([]float64, f.targets), make([]float64, f.targets)
	diagonal := make([]float64, f.targets)
	f.apply(x, product)
	f.modelMeans(func(i int) float64 { return f.gaps[i] })
	for t := range residual {
		residual[t], diagonal[t] = -product[t], priorWeight
	}
	for i, e := range f.edges {
		residual[e.target] += f.weights[i] * (f.gaps[i] - f.ofModel[e.model])
		diagonal[e.target] += f.weights[i] * (1 - f.weights[i]/f.modelWeights[e.model])
	}
	scaled := func() (sum float64) {
		for t, r := range residual {
			sum += r * r / diagonal[t]
		}
		return sum
	}
	norm := scaled()
	for t, r := range residual {
		direction[t] = r / diagonal[t]
	}
	for step := 0; step < maxSolverSteps && norm > solverTolerance; step++ {
		f.apply(direction, product)
		along := 0.0
		for t, d := range direction {
			along += d * product[t]
		}
		for t := range x {
			x[t] += norm / along * direction[t]
			residual[t] -= norm / along * product[t]
		}
		before := norm
		norm = scaled()
		for t, r := range residual {
			direction[t] = r/diagonal[t] + norm/before*direction[t]
		}
	}
}
