#!/usr/bin/env bash
# Every process of Vlaamse Visexport at a hundredth of its connections, real
# TCP and HTTP/2 from callers to targets. A request that reaches another
# service, runs twice, or runs though its caller was told otherwise fails the
# test; so does a site that serves nothing. Broken flows and times are printed
# and decide nothing, since they depend on how busy the machine is.
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
