#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10, which review/lab-2 has in one program. It needs no network once the modules of
# go.mod are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/lab-2
