#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/_bin
go test -c -o review/_bin/world3 ./review/_world3
