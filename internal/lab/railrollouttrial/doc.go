// Package railrollouttrial distributes weights to many replicas over simulated links of limited bandwidth. It measures the system's
// swarm distribution and two baselines against the lower bound that the links' bandwidth sets.
package railrollouttrial
