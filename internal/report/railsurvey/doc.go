// Package railsurvey collects the status reports of all processes of a deployment.
package railsurvey
