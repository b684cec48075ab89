// Package railburnreport computes burn rates and remaining error budgets from
// the request counts of all entries.
package railburnreport
