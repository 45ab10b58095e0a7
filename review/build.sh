#!/bin/bash
# Builds the stand-in of the review's scripts from its own sources and the project's, into review/build. Needs only the packages of
# deploy/system.toml.
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")/.."
core=Source/Core
sources=(
    review/standin/{Cases,Executor,Platform,Record,StandinMain,Trial}.cpp
    Source/Standins/{HttpServer,RequestParser,StandinJson}.cpp
    $core/Adapters/Platform/{Base64,CurlClient,EventLoop,HttpCall,KeyValueStore}.cpp
    $core/Common/{CompactJson,SocketAddress,Time}.cpp
)
mkdir -p review/build
rm -f review/build/*.o
objects=()
for it in "${sources[@]}"; do
    object=review/build/$(basename "$it" .cpp).o
    g++ -std=c++20 -O1 -Wall -Wextra -Wpedantic -Ireview/standin -ISource -I$core $(pkg-config --cflags jsoncpp libuv libcurl libcrypto) -c "$it" -o "$object" &
    objects+=("$object")
done
wait
g++ "${objects[@]}" -o review/build/review_standin $(pkg-config --libs jsoncpp libuv libcurl libcrypto) -lcrypto -pthread
