/// Socket addresses as other programs write them.

#include "Common/SocketAddress.h"
#include "FuzzInput.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <string>

using Common::AddressUse;
using Common::parsePort;
using Common::parseSocketAddress;

namespace {

std::uint16_t portOf(const sockaddr_storage& address)
{
    // The port is at the same place for both versions.
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

} // namespace

TEST_CASE("an address with a host and a port is parsed")
{
    for (const std::string text : { "127.0.0.1:80", "[::1]:80" }) {
        CAPTURE(text);
        const auto address = parseSocketAddress(text, AddressUse::Connect);
        REQUIRE(address);
        CHECK(portOf(*address) == 80);
        CHECK(address->ss_family == (text.front() == '[' ? AF_INET6 : AF_INET));
    }
    CHECK(parseSocketAddress("127.0.0.1:65535", AddressUse::Connect));
    CHECK(parseSocketAddress("0.0.0.0:0", AddressUse::Listen));
}

TEST_CASE("an address with an odd host or port isn't parsed")
{
    for (const std::string text : { "", ":", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:+1", "127.0.0.1: 80", "127.0.0.1:80 ", "127.0.0.1:80x", "127.0.0.1:0x50", "127.0.0.1:65536",
             "127.0.0.1:99999", "127.0.0.1:18446744073709551696", "127.0.0.1.:80", "127.0.0:80", "256.0.0.1:80", "localhost:80", "0.0.0.0:80", "::1:80", "[::1:80", "[]:80", "[::]:80", "[127.0.0.1]:80" }) {
        CAPTURE(text);
        CHECK_FALSE(parseSocketAddress(text, AddressUse::Connect));
    }
    CHECK_FALSE(parseSocketAddress(std::string("127.0.0.1\0x:80", 14), AddressUse::Connect));
    CHECK_FALSE(parseSocketAddress("127.0.0.1:65536", AddressUse::Listen));
}

TEST_CASE("a mutated address is parsed only if its port is one of 1 to 65535")
{
    FuzzInput input(20261205);
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto text = input.mutate(n % 2 == 0 ? "127.0.0.1:25080" : "[fe80::1]:25080");
        CAPTURE(text);
        if (const auto address = parseSocketAddress(text, AddressUse::Connect)) {
            CHECK(portOf(*address) > 0);
            CHECK(text.ends_with(':' + std::to_string(portOf(*address))) == (text[text.rfind(':') + 1] != '0'));
        }
        const auto port = parsePort(text);
        CHECK((!port || std::stoul(text) == *port));
    }
}
