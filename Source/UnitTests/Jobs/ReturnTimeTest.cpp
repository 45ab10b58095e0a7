/// Replays of callers that are refused during an outage and come back when they are told to.

#include "Jobs/Decision/ReturnTime.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds outage { 6000 };
constexpr milliseconds minimum { 1000 };
constexpr unsigned attemptsOfCaller = 5; ///< The first and four more.

/// Whole seconds, as in the Retry-After header.
milliseconds headerValue(milliseconds returnTime) { return std::max(1s, std::chrono::round<std::chrono::seconds>(returnTime)); }

/// Whether a caller that first asks at that time of the outage still has an attempt once it is over.
bool outlastsOutage(const std::string& id, milliseconds time)
{
    for (unsigned attempt = 0; attempt < attemptsOfCaller; ++attempt) {
        if (time >= outage)
            return true;
        time += headerValue(Jobs::returnTimeOf(time, minimum, id));
    }
    return false;
}

} // namespace

TEST_CASE("callers refused at any moment of an outage of six seconds have an attempt left when it ends")
{
    unsigned lost = 0;
    for (milliseconds arrival { 0 }; arrival < outage; arrival += 20ms)
        lost += outlastsOutage(std::to_string(arrival.count()), arrival) ? 0 : 1;
    CHECK(lost == 0);
}

TEST_CASE("callers refused at the same moment of a long outage aren't told to return at the same time")
{
    std::set<milliseconds> returns;
    for (unsigned n = 0; n < 100; ++n) {
        const auto time = Jobs::returnTimeOf(4s, minimum, std::to_string(n));
        CHECK(time >= 4s);
        CHECK(time <= 6s);
        returns.insert(headerValue(time));
    }
    CHECK(returns.size() >= 3);
}

TEST_CASE("a short outage isn't taken for a long one")
{
    CHECK(headerValue(Jobs::returnTimeOf(0ms, minimum, "a")) == 1s);
    CHECK(headerValue(Jobs::returnTimeOf(400ms, 500ms, "a")) == 1s);
}
