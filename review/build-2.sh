#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/10. The programs of the system are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
