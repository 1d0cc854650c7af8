#!/bin/bash
# Builds the stand-ins that the scripts of the second review's cases start. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins2 ./review/standins2
