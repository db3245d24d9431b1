#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start. The program itself is built as deploy/system.toml says.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/ ./review/standin3
