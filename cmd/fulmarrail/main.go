// Command fulmarrail distributes new weights to serving VMs while they continue to serve requests.
package main

import (
	"os"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railroot"
)

func main() {
	os.Exit(int(railroot.Main(railfactory.New(), os.Args[1:])))
}
