#!/usr/bin/env bash
# Builds the driver of the second review's scripts, with its stand-ins. It uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/driver-2"
go build -o ../../target/review-driver-2 .
