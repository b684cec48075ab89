// Package railtransferfaults tests rollouts in which transfers corrupt chunks, alone and together with other faults.
package railtransferfaults
