#!/bin/sh
# Installs the Debian packages that the build, the tests and CI need.
# Does nothing, and needs no network, where all of them are present.
set -eu

packages="build-essential cmake pkg-config clang clang-format clang-tidy
	cppcheck libclang-rt-14-dev libck-dev libmsgpack-dev libuv1-dev
	libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev libcunit1-dev
	libcyaml-dev libhttp-parser-dev libjansson-dev libxxhash-dev libsodium-dev libgsl-dev
	zlib1g-dev curl"

missing=
for package in $packages
do
	status=$(dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null ||
		true)
	test "$status" = installed || missing="$missing $package"
done
test -n "$missing" || exit 0

echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq $missing >/dev/null
