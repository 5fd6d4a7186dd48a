#!/usr/bin/env bash
# Installs the missing Debian packages that the build, the tests and the demo need.
set -eu
packages=(
	cmake ninja-build pkg-config gcc g++ curl
	clang clang-format clang-tidy
	libcivetweb-dev liburcu-dev libzmq3-dev libargtable2-dev libglib2.0-dev
	libtomlplusplus-dev libjansson-dev libcurl4-openssl-dev libprotobuf-c-dev
	libuv1-dev libhttp-parser-dev
	libxxhash-dev libyajl-dev libgtest-dev librapidcheck-dev spin python3
)
missing=()
for package in "${packages[@]}"; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
		missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
