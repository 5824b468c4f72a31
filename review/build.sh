#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p ../../target
go build -o ../../target/review-lab .
