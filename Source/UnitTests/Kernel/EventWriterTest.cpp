#include "Kernel/EventWriter.h"

#include <array>
#include <climits>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

TEST_CASE("a burst of lines reaches a shared pipe whole: each write is atomic and ends with a line")
{
    std::array<int, 2> ends {};
    REQUIRE(pipe2(ends.data(), O_DIRECT) == 0); // Each write can be read by itself.
    REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, 1 << 20) > 0);
    constexpr unsigned lineCount = 300;
    const std::string longLine(PIPE_BUF + 100, 'x');
    {
        Kernel::EventWriter writer(ends[1], std::size_t { 1 } << 20);
        for (unsigned n = 0; n < lineCount; ++n)
            writer.write("line " + std::to_string(n) + std::string(150, '.'));
        writer.write(longLine);
        writer.write("last");
    }
    close(ends[1]);
    std::string all;
    std::array<char, std::size_t { 4 } * PIPE_BUF> buf {};
    for (auto n = read(ends[0], buf.data(), buf.size()); n > 0; n = read(ends[0], buf.data(), buf.size())) {
        const std::string part(buf.data(), static_cast<std::size_t>(n));
        const bool isLongLine = part.find('x') != std::string::npos || all.ends_with('x');
        CHECK(part.size() <= PIPE_BUF);
        if (!isLongLine)
            CHECK(part.back() == '\n');
        all += part;
    }
    close(ends[0]);
    for (unsigned n = 0; n < lineCount; ++n)
        CHECK(all.find("line " + std::to_string(n) + '.') != std::string::npos);
    CHECK(all.find(longLine + "\nlast\n") != std::string::npos);
}
