#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, without a network.
#
# They need no library but serde_json, in the version that the build of the deploy file has fetched.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
