#!/bin/sh
# Builds the program that runs the scripts of cases 6 to 10: stand-ins of the platform's store, of
# samplers, clients and trainers, and the start of the hosts.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-drive ./review/_drive
