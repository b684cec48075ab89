package railcluster

// OrdersConfig is a configuration file with three zones, each in a region of its own, and a plain service for orders.
const OrdersConfig = `
[zone a]
region = a
[zone b]
region = b
[zone c]
region = c
[customer castle]
[service orders]
kind = plain
repeatable = no
coldLimit = 16
maxLimit = 64
firstTokenTarget = 10s
`
