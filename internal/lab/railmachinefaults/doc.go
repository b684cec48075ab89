// Package railmachinefaults tests rollouts in which machines fail, stall or send wrong chunks.
package railmachinefaults
