// Command fulmarbench runs load tests and experiments on deployments.
package main

import (
	"os"

	"github.com/fulmarrail/fulmarrail/internal/command/railbenchcmd"
	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
)

func main() {
	os.Exit(int(railbenchcmd.Main(railfactory.New(), os.Args[1:])))
}
