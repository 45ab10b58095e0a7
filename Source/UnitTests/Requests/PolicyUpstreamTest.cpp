/// Bad upstreams and slots in use by peers.

#include "Requests/PolicyBed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace PolicyTests;
using namespace std::chrono_literals;

namespace {

constexpr int serverError = 500;
constexpr int success = 200;

/// Runs requests for a time; each takes 10 ms, or 1 ms on an upstream that fails. Returns the attempts per upstream.
std::map<std::string, int> runFor(PolicyBed& bed, std::chrono::milliseconds time, const std::set<std::string>& failing)
{
    std::map<std::string, int> attempts;
    std::map<Ports::AttemptId, std::chrono::milliseconds> age;
    for (auto passed = 0ms; passed < time; passed += 1ms) {
        while (bed.out.size() < 16) {
            const auto before = bed.out.size();
            bed.ask("batch", 60s);
            if (bed.out.size() == before)
                break;
        }
        bed.pass(1ms);
        const auto calls = bed.out;
        for (const auto& call : calls) {
            const bool fails = failing.count(call.upstream) > 0;
            age[call.attempt] += 1ms;
            if (!fails && age[call.attempt] < 10ms)
                continue;
            ++attempts[call.upstream];
            bed.end(call, Ports::AttemptEnd::Answered, fails ? serverError : success);
        }
    }
    return attempts;
}

BedSettings settingsOf(unsigned upstreams, bool ejectionEnabled)
{
    BedSettings settings;
    settings.upstreams = upstreams;
    settings.guards.ejectionEnabled = ejectionEnabled;
    settings.declaredRunTime = 10ms;
    return settings;
}

} // namespace

TEST_CASE("an upstream that fails every task fast is ejected, probed and brought back; without ejection it takes the most")
{
    PolicyBed guarded(settingsOf(4, true));
    auto attempts = runFor(guarded, 1000ms, { "desk-1" });
    CHECK(attempts["desk-1"] < 20);
    CHECK(attempts["desk-0"] > 200);
    // It heals: after its pause probes find out, and it gets its share again.
    runFor(guarded, 3000ms, {});
    attempts = runFor(guarded, 1000ms, {});
    CHECK(attempts["desk-1"] > 200);

    PolicyBed open(settingsOf(4, false));
    attempts = runFor(open, 1000ms, { "desk-1" });
    CHECK(attempts["desk-1"] > attempts["desk-0"]);
}

TEST_CASE("ejection is bounded: however many fail, two thirds of the pool stay in use")
{
    for (unsigned failures = 1; failures <= 6; ++failures) {
        PolicyBed bed(settingsOf(6, true));
        std::set<std::string> failing;
        for (unsigned n = 0; n < failures; ++n)
            failing.insert("desk-" + std::to_string(n));
        runFor(bed, 500ms, failing);
        unsigned usable = 0;
        for (const auto& load : bed.core->loads(bed.now()))
            usable += load.slots;
        CHECK(usable >= 4 * 8);
    }
}

TEST_CASE("slots in use by peers count against an upstream's limit, and those of a lost peer come free in time")
{
    BedSettings settings;
    PolicyBed bed(settings);
    bed.hear("entry-2", { { "desk-0", 6 } });
    for (int n = 0; n < 20; ++n)
        bed.ask("batch", 60s);
    CHECK(bed.out.size() == 2);
    bed.core->peerLost({ bed.now(), Common::WallTime() }, "entry-2");
    bed.pass(500ms);
    CHECK(bed.out.size() == 5); // Half of the expected second is over.
    bed.pass(600ms);
    CHECK(bed.out.size() == 8);

    settings.guards.peerUseCounted = false;
    PolicyBed uncounted(settings);
    uncounted.hear("entry-2", { { "desk-0", 6 } });
    for (int n = 0; n < 20; ++n)
        uncounted.ask("batch", 60s);
    CHECK(uncounted.out.size() == 8);
}

TEST_CASE("requests of an upstream that died wait for the others and aren't spent on connects to it")
{
    BedSettings settings = settingsOf(2, true);
    settings.declaredRunTime = 100ms;
    PolicyBed bed(settings);
    std::vector<Ports::CallerHandle> handles;
    handles.reserve(16);
    for (int i = 0; i < 16; ++i)
        handles.push_back(bed.ask("batch", 60s));
    REQUIRE(bed.out.size() == 16);
    // Fewer in flight than failures in a row would eject it for.
    for (int spare = 5; spare > 0; --spare) {
        const auto call = *std::find_if(bed.out.begin(), bed.out.end(), [](const auto& it) { return it.upstream == "desk-0"; });
        bed.end(call);
    }
    std::map<Ports::AttemptId, std::chrono::milliseconds> age;
    bool died = false;
    for (auto passed = 0ms; passed < 10s; passed += 1ms) {
        bed.pass(1ms);
        const auto calls = bed.out;
        for (const auto& call : calls) {
            if (call.upstream == "desk-0")
                bed.end(call, died ? Ports::AttemptEnd::NotSent : Ports::AttemptEnd::Lost);
            else if ((age[call.attempt] += 1ms) >= 100ms)
                bed.end(call);
        }
        died = true;
    }
    for (const auto handle : handles) {
        REQUIRE(bed.answerOf(handle));
        CHECK(bed.answerOf(handle)->answer.outcome == Ports::Outcome::Done);
    }
}
