// Command fulmarstand simulates the platform, the endpoints and the links between regions.
package main

import (
	"os"

	"github.com/fulmarrail/fulmarrail/internal/command/railfactory"
	"github.com/fulmarrail/fulmarrail/internal/command/railstandcmd"
)

func main() {
	os.Exit(int(railstandcmd.Main(railfactory.New(), os.Args[1:])))
}
