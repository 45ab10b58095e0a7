#include "Jobs/Fleet/PeakRecord.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr std::string_view version = "1"; ///< First word of a record.
    constexpr milliseconds skewAllowance { 1000 }; ///< Between the clocks of two holders.
    constexpr std::chrono::minutes maximumAge { 10 }; ///< Of the newest peak.
    constexpr std::size_t maximumPeaks = 100; ///< More than any holder writes.

    /// The text up to the next delimiter, which is removed together with it.
    std::string_view takeUntil(std::string_view& text, char delimiter)
    {
        const auto word = text.substr(0, text.find(delimiter));
        text.remove_prefix(std::min(text.size(), word.size() + 1));
        return word;
    }

    std::optional<std::int64_t> takeNumber(std::string_view& text)
    {
        const auto word = takeUntil(text, ':');
        std::int64_t number = 0;
        const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
        if (error != std::errc() || end != word.data() + word.size() || number < 0)
            return std::nullopt;
        return number;
    }

    struct RecordedPeak {
        std::string pool;
        Common::WallTime startsAt;
        double milliCores = 0;
    };

    /// "start:milliCores:pool".
    std::optional<RecordedPeak> parsePeak(std::string_view text)
    {
        const auto startsAt = takeNumber(text);
        const auto milliCores = takeNumber(text);
        if (!startsAt || !milliCores || text.empty())
            return std::nullopt;
        return RecordedPeak { std::string(text), Common::WallTime(milliseconds(*startsAt)), static_cast<double>(*milliCores) };
    }

} // namespace

std::string formatPeaks(const std::vector<Peak>& peaks, Common::Moment at)
{
    std::string text(version);
    for (const auto& it : peaks) {
        const auto startsAt = at.wall - std::chrono::duration_cast<milliseconds>(at.now - it.startsAt);
        text += ' ' + std::to_string(startsAt.time_since_epoch().count()) + ':' + std::to_string(std::llround(it.milliCores)) + ':' + it.pool;
    }
    return text;
}

PeakRecord parsePeaks(std::string_view text, Common::Moment at)
{
    if (takeUntil(text, ' ') != version)
        return { {}, "unreadable" };
    std::vector<RecordedPeak> recorded;
    while (!text.empty()) {
        auto peak = parsePeak(takeUntil(text, ' '));
        if (!peak || recorded.size() == maximumPeaks)
            return { {}, "unreadable" };
        recorded.push_back(std::move(*peak));
    }
    if (recorded.empty())
        return { {}, "empty" };
    std::ranges::stable_sort(recorded, {}, &RecordedPeak::startsAt);
    const auto newest = recorded.back().startsAt;
    if (newest > at.wall + skewAllowance)
        return { {}, "from-the-future" };
    if (newest < at.wall - maximumAge)
        return { {}, "too-old" };
    PeakRecord record;
    for (auto& it : recorded) {
        // Starts that are in the future by the skew of the clocks are moved back together, so that the gaps stay as they are.
        const auto age = std::max(at.wall, newest) - it.startsAt;
        if (age <= maximumAge)
            record.peaks.push_back({ std::move(it.pool), at.now - age, it.milliCores });
    }
    return record;
}

} // namespace Jobs
