#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-stand ./review/_stand
