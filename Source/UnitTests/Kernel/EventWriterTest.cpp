/// Event lines must reach log collectors whole: longer writes on a pipe may be cut or interleaved.

#include "Kernel/EventWriter.h"

#include <array>
#include <climits>
#include <doctest/doctest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

/// One entry per write call: SOCK_SEQPACKET preserves message boundaries.
std::vector<std::string> receiveWrites(int descriptor)
{
    std::vector<std::string> writes;
    std::array<char, 1 << 16> buf {};
    for (;;) {
        const auto n = ::recv(descriptor, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0)
            return writes;
        writes.emplace_back(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace

TEST_CASE("a burst of event lines is written in whole lines, each write small enough to be atomic on a pipe")
{
    std::array<int, 2> ends {};
    REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()) == 0);
    constexpr unsigned lines = 400;
    const std::string text(150, 'x');
    {
        Kernel::EventWriter writer(ends[0], 1 << 20);
        for (unsigned n = 0; n < lines; ++n)
            writer.write(text + std::to_string(n));
        writer.write(std::string(std::size_t { 3 } * PIPE_BUF, 'y'));
        writer.write("last");
    }
    std::string all;
    for (const auto& it : receiveWrites(ends[1])) {
        const bool isComplete = it.ends_with('\n');
        CHECK(isComplete);
        const bool isAtomic = it.size() <= PIPE_BUF || it.find('\n') == it.size() - 1;
        CHECK(isAtomic);
        all += it;
    }
    std::string expected;
    for (unsigned n = 0; n < lines; ++n)
        expected += text + std::to_string(n) + '\n';
    expected += std::string(std::size_t { 3 } * PIPE_BUF, 'y') + "\nlast\n";
    CHECK(all == expected);
    ::close(ends[0]);
    ::close(ends[1]);
}
