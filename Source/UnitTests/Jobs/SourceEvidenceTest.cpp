/// Tests of what is learnt of sources whose tasks crash their workers.

#include "Jobs/Decision/SourceEvidence.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;
using Common::WallTime;

namespace {

const TaskSource crashing { "crashing", {} };
const TaskSource sound { "sound", {} };

} // namespace

TEST_CASE("a source is bounded once its tasks crash more workers than sound work does, and released as its rate falls")
{
    SourceEvidence evidence;
    WallTime now { 1h };
    evidence.onCrash(crashing, 1, now);
    CHECK_FALSE(evidence.isBounded(crashing, now)); // One crash tells nothing.
    evidence.onCrash(crashing, 1, now);
    CHECK(evidence.isBounded(crashing, now));
    CHECK_FALSE(evidence.isBounded(sound, now));
    CHECK_FALSE(evidence.isBounded({ crashing.queue, "another" }, now));
    for (unsigned n = 0; n < 2000; ++n)
        evidence.onOutlived(crashing, now);
    CHECK_FALSE(evidence.isBounded(crashing, now));
}

TEST_CASE("a source that hands in nothing any more is released and forgotten")
{
    SourceEvidence evidence;
    const WallTime now { 1h };
    for (unsigned n = 0; n < 20; ++n)
        evidence.onCrash(crashing, 1, now);
    CHECK(evidence.isBounded(crashing, now + 10s));
    CHECK_FALSE(evidence.isBounded(crashing, now + 120s));
    CHECK_FALSE(evidence.hasCrashes());
}

TEST_CASE("a source whose worker crashes by itself now and then isn't bounded")
{
    SourceEvidence evidence;
    WallTime now { 1h };
    for (unsigned n = 0; n < 100; ++n) {
        evidence.onCrash(sound, 0.25, now);
        for (unsigned starts = 0; starts < 200; ++starts)
            evidence.onOutlived(sound, now);
        CHECK_FALSE(evidence.isBounded(sound, now));
        now += 1s;
    }
}

TEST_CASE("a source that crashes workers at a steady rate is recorded a few times and not at each crash")
{
    SourceEvidence evidence;
    WallTime now { 1h };
    unsigned records = 0;
    for (unsigned n = 0; n < 200; ++n) {
        records += evidence.onCrash(crashing, 1, now) ? 1 : 0;
        now += 100ms;
    }
    CHECK(records > 4);
    CHECK(records <= 10);
    const auto learnt = evidence.recordOf(crashing);
    CHECK(learnt.crashesPermille >= 60000);
}

TEST_CASE("what is known of sources outlives their pool's owner, and isn't in snapshots")
{
    const Common::Moment at { Common::Instant(1h), WallTime(1h) };
    PoolCore core { PoolLimits {} };
    std::string text;
    appendRecord(text, SourceCrashesLearnt { "imports", "", 12000, 300000, true, at.wall });
    std::vector<JobRecord> read;
    REQUIRE(readRecords(text, read));
    core.load(read);
    core.finishLoad(at);
    CHECK(std::ranges::none_of(core.snapshot(at), isEvidence));
    const auto output = core.takeOutput().records;
    REQUIRE(output.size() == 1);
    const auto& learnt = std::get<SourceCrashesLearnt>(output.front());
    CHECK(learnt.queue == "imports");
    CHECK(learnt.crashesPermille == 12000);
    CHECK(learnt.outlivedPermille == 300000);
    CHECK(learnt.isBounded);
    SourceEvidence evidence;
    evidence.restore(learnt);
    CHECK(evidence.isBounded({ "imports", {} }, at.wall));
}
