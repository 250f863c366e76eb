#!/usr/bin/env bash
# Builds the stand-ins and the driver of the review's scripts. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/driver"
go build -o ../../target/review-driver .
