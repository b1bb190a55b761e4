#!/usr/bin/env bash
# Builds the harness, which holds all stand-ins of the scripts.
set -eu
cd "$(dirname "$0")/_harness"
go build -o ../bin/harness .
