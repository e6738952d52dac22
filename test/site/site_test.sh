#!/usr/bin/env bash
# Runs every process of the deployment Vlaamse Visexport at a hundredth of its
# connections, with real TCP and HTTP/2 from callers to targets. The test fails
# if a request reaches another service, runs twice, or runs although its caller
# was told that it did not, or if no request is served. Broken flows and times
# are printed but do not fail the test, because they depend on the load of the
# machine.
#
# usage: site_test.sh SOURCE BUILD
set -euo pipefail
SOURCE=$1
BUILD=$2
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
"$SOURCE/scripts/make-settings" vlaamse-visexport "$FOLDER" --scale 0.01 \
  --length-ms 4000
"$SOURCE/scripts/site" "$FOLDER" "$BUILD" -- \
  "$SOURCE/scripts/run-loads" "$FOLDER" "$BUILD"
"$BUILD/standins/load/marjoram-report" --folder="$FOLDER" --prefix=site \
  --timing_free
