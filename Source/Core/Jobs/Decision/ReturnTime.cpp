#include "Jobs/Decision/ReturnTime.h"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds maximumReturnTime { 4000 }; ///< Takeovers and most outages of the store are shorter.
    constexpr std::int64_t spreadDivisor = 2;

} // namespace

milliseconds returnTimeOf(milliseconds outage, milliseconds minimum, std::string_view id)
{
    const auto base = std::max(minimum, std::min(outage, maximumReturnTime));
    const auto spread = static_cast<std::uint64_t>((base / spreadDivisor).count()) + 1;
    return base + milliseconds(static_cast<std::int64_t>(XXH3_64bits(id.data(), id.size()) % spread));
}

} // namespace Jobs
