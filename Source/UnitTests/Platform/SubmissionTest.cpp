/// Parsing of submissions, malformed ones included.

#include "JobApi.h"

#include <doctest/doctest.h>
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
