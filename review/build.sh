#!/usr/bin/env bash
# Builds the program that plays the scripts of this folder, with its stand-ins. It needs the modules of go.mod only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o review/bin/ ./review/drill
