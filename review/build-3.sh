#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 11 to 15 to target/review/driver-3. It needs no network: the driver uses the standard
# library alone. The programs of the project come from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/driver-3"
mkdir -p ../../target/review
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/driver-3 .
