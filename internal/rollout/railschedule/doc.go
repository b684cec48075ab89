// Package railschedule spreads the engines' loads of new weights over the rollout time, so that the other engines keep serving.
package railschedule
