package railzonetrial

import "time"

const (
	outputTokens      = 10
	requestDeadline   = 10 * time.Second
	orderServiceDelay = 10 * time.Millisecond
	rolloutTimeout    = 20 * time.Second
	coldCapacity      = 4
	warmCapacity      = 16
	warmUpRequests    = 60
	firstToken        = 20 * time.Millisecond
	betweenTokens     = 5 * time.Millisecond
	loadTime          = 300 * time.Millisecond
	downTime          = 2 * time.Second
)

var (
	zones     = []string{"leinster", "munster", "connacht"}
	customers = []string{"harbour", "castle", "meadow"}
)

const baseConfig = `[origin main]
region = leinster

[zone leinster]
region = leinster
rampUp = 3s
[zone munster]
region = munster
rampUp = 3s
[zone connacht]
region = connacht
rampUp = 3s

[customer harbour]
weight = 4
[customer castle]
[customer meadow]

[service assistant]
kind = engine
version = v1
coldLimit = 4
maxLimit = 16
warmAfter = 60
firstTokenTarget = 570ms
deadline = 10s

[service orders]
kind = plain
repeatable = no
coldLimit = 16
maxLimit = 64
deadline = 10s

[objective chat]
service = assistant
target = 99.9
firstToken = 570ms
betweenTokens = 72ms
`
