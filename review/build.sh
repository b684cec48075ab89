#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/_bin
go test -c -o review/_bin/world ./review/_world
