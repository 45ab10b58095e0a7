/// Parsing of submissions, malformed ones included.

#include "JobApi.h"

#include "FuzzInput.h"
#include "Jobs/Model/ValueRanges.h"

#include <doctest/doctest.h>
#include <functional>
#include <limits>
#include <random>
#include <string>

using PlatformAdapter::readSubmission;

namespace {

const std::string body = R"json({"spec":"(text)","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],"checkpointing":true}]})json";

/// Why the body can't be parsed or, if it can, why the job is invalid; empty for a valid job.
std::string faultIn(const std::string& text)
{
    std::string fault;
    const auto spec = readSubmission(text, fault);
    return spec ? Jobs::validationError(*spec) : fault;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) { return text.replace(text.find(from), from.size(), to); }

} // namespace

TEST_CASE("a submission is parsed into steps")
{
    std::string fault;
    const auto spec = readSubmission(body, fault);
    REQUIRE(spec);
    CHECK(Jobs::validationError(*spec).empty());
    CHECK(spec->payload == "(text)");
    REQUIRE(spec->steps.size() == 2);
    CHECK(spec->steps[0].dataRack == "r1-3");
    CHECK(spec->steps[1].after == std::vector<unsigned> { 0 });
    CHECK(spec->steps[1].checkpoints);
}

TEST_CASE("a malformed or invalid submission is refused with a reason")
{
    for (const std::string text : { "", "no JSON", "{}", R"({"steps":{}})", R"({"steps":[]})", R"({"steps":[1]})", R"({"steps":[{}]})", R"({"steps":[{"count":0}]})",
             R"({"steps":[{"count":-3}]})", R"({"steps":[{"count":1e18}]})", R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1},{"count":1,"after":[-1]}]})",
             R"({"steps":[{"count":1},{"count":1,"after":["0"]}]})", R"({"steps":[{"count":1},{"count":1,"after":[0.5]}]})", R"({"steps":[{"count":1}],"repeatCount":3})" }) {
        CAPTURE(text);
        CHECK_FALSE(faultIn(text).empty());
    }
}

TEST_CASE("a submission with an odd value is refused with a reason")
{
    for (const std::string field : { "count", "cpu", "memMb", "gpu", "estimateMs", "maxPerServer", "mayMiss", "targetMs" }) {
        const std::string count = field == "count" ? "" : R"("count":1,)";
        const auto textWith = [&](const std::string& value) { return replaced(replaced(replaced(R"({"steps":[{"count":1},{COUNT"FIELD":VALUE}]})", "COUNT", count), "FIELD", field), "VALUE", value); };
        for (const std::string value : { "1", "-1", "1e18", "1e300", "1e400", "9e18", "9223372036854775807", "9223372036854775808", "18446744073709551615", "\"1\"", "{}", "[]", "true" }) {
            CAPTURE(field);
            CAPTURE(value);
            CHECK(faultIn(textWith(value)).empty() == (value == "1"));
        }
    }
    for (const std::string value : { "1", "\"true\"", "[]" }) {
        CAPTURE(value);
        CHECK_FALSE(faultIn(R"({"steps":[{"count":1,"gang":)" + value + "}]}").empty());
    }
    for (const std::string schedule : { R"("firstRunMs":9e18)", R"("firstRunMs":-1)", R"("firstRunMs":253402300800000)", R"("intervalMs":9e18)", R"("intervalMs":-5)", R"("repeatCount":-1,"intervalMs":5)", R"("repeatCount":1e300,"intervalMs":5)",
             R"("repeatCount":1000000000,"intervalMs":31536000000)", R"("repeatCount":2,"intervalMs":1000,"firstRunMs":253402300799999)", R"("spec":7)" }) {
        CAPTURE(schedule);
        CHECK_FALSE(faultIn(R"({"steps":[{"count":1}],)" + schedule + "}").empty());
    }
    CHECK(faultIn(R"({"steps":[{"count":1}],"repeatCount":3,"intervalMs":1000,"firstRunMs":1786644770994})").empty());
    CHECK_FALSE(faultIn("{\"steps\":" + std::string(2000000, '[')).empty());
    CHECK_FALSE(faultIn("{\"steps\":" + std::string(1000000, '[') + std::string(1000000, ']') + "}").empty());
}

TEST_CASE("a job from another host with values out of range is refused")
{
    // Its values weren't read by this host, so that only their check keeps them out.
    std::string fault;
    const auto valid = readSubmission(body, fault);
    REQUIRE(valid);
    const auto refuses = [&valid](const std::function<void(Jobs::JobSpec&)>& change) {
        auto spec = *valid;
        change(spec);
        return !Jobs::validationError(spec).empty();
    };
    CHECK(refuses([](auto& it) { it.steps[0].need.milliCores = std::numeric_limits<std::uint64_t>::max(); }));
    CHECK(refuses([](auto& it) { it.steps[0].need.memoryMb = 1'000'000'001; }));
    CHECK(refuses([](auto& it) { it.steps[0].estimate = std::chrono::milliseconds::max(); }));
    CHECK(refuses([](auto& it) { it.steps[0].estimate = std::chrono::milliseconds(-1); }));
    CHECK(refuses([](auto& it) { it.steps[0].targetLatency = std::chrono::hours(25); }));
    CHECK(refuses([](auto& it) { it.interval = std::chrono::milliseconds::max(); }));
    CHECK(refuses([](auto& it) { it.firstRun = Common::WallTime::max(); }));
}

TEST_CASE("the work of the largest job doesn't wrap around")
{
    Jobs::JobSpec spec;
    spec.steps.resize(1);
    spec.steps[0].taskCount = 10000;
    spec.steps[0].need.milliCores = 1'000'000'000;
    spec.steps[0].estimate = Jobs::ValueRanges::maximumDuration;
    CHECK(Jobs::validationError(spec).empty());
    CHECK(Jobs::workOf(spec) == std::numeric_limits<std::uint64_t>::max() / 1000);
}

TEST_CASE("a caller's timeout that isn't whole milliseconds in range counts as none")
{
    for (const std::string text : { "", "x", "-1", "12x", " 12", "1e3", "1.5", "31536000001", "9223372036854775807", "18446744073709551615" }) {
        CAPTURE(text);
        CHECK(PlatformAdapter::readTimeout(text) == std::chrono::milliseconds(0));
    }
    CHECK(PlatformAdapter::readTimeout("1500") == std::chrono::milliseconds(1500));
}

TEST_CASE("a mutated submission is parsed or refused with a reason")
{
    constexpr int mutations = 20000;
    std::mt19937 random(4122026); // NOLINT(cert-msc51-cpp): a fixed seed makes the test deterministic.
    for (int n = 0; n < mutations; ++n) {
        auto text = body;
        for (unsigned edits = random() % 4 + 1; edits > 0; --edits)
            text[random() % text.size()] = static_cast<char>(random());
        std::string fault;
        const auto spec = readSubmission(text, fault);
        CHECK(spec.has_value() == fault.empty());
    }
}

TEST_CASE("a job read from an odd submission has values that can be added up")
{
    FuzzInput input(20261209);
    unsigned valid = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto text = input.mutate(R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900,"targetMs":80},{"count":20,"estimateMs":7000,"after":[0],"gang":true}],"repeatCount":3,"firstRunMs":1786644770994,"intervalMs":1000})");
        CAPTURE(text);
        std::string fault;
        const auto spec = readSubmission(text, fault);
        CHECK(spec.has_value() == fault.empty());
        if (!spec || !Jobs::validationError(*spec).empty())
            continue;
        ++valid;
        const auto lastDue = spec->repeatCount == 0 ? spec->firstRun : spec->firstRun + (spec->repeatCount - 1) * spec->interval;
        CHECK((lastDue >= Common::WallTime() && lastDue <= Jobs::ValueRanges::latestTime));
        CHECK(Jobs::criticalPathOf(*spec) * Jobs::ValueRanges::maximumStretch >= std::chrono::milliseconds(0));
        CHECK(Jobs::workOf(*spec) <= std::numeric_limits<std::uint64_t>::max() / 1000 * spec->steps.size());
    }
    CHECK(valid > 0);
}
