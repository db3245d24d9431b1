#!/usr/bin/env bash
# Builds the stand-ins of the cases. The program under test is built by the command in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-standin ./review/standin
