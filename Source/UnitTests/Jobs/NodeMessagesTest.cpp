/// Messages of other hosts, the journal and members' texts with odd values or damaged.

#include "Jobs/Runtime/NodeMessages.h"
#include "FuzzInput.h"
#include "Jobs/Model/JobRecords.h"
#include "Jobs/Model/ValueRanges.h"
#include "Jobs/Runtime/MemberText.h"

#include <doctest/doctest.h>
#include <limits>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr auto most = std::numeric_limits<std::uint64_t>::max();

JobSpec someSpec()
{
    JobSpec spec;
    spec.payload = "payload";
    spec.steps.resize(2);
    spec.steps[0].taskCount = 3;
    spec.steps[0].need = { 500, 256, 0 };
    spec.steps[0].estimate = 900ms;
    spec.steps[1].taskCount = 1;
    spec.steps[1].after = { 0 };
    return spec;
}

PoolCall someCall() { return { 7, "desk", Ports::JobVerb::Submit, "5c0e7a21d94b36f8", "r-1", 1, 3, 1500, 800ms, someSpec(), "desk.example", "/bookings/", 12, {}, {} }; }

LoadCallAnswer someLoad()
{
    LoadCallAnswer answer { 9, true, 12, {} };
    answer.load.pool = "desk";
    answer.load.waitingMilliCores = 500;
    answer.load.demandedMemoryMb = 256;
    answer.load.demands.push_back({ "large", "r-1", { 500, 256, 0 }, 3, 1500, 768 });
    answer.load.workers.push_back({ "i-1", "m-1", 2, 1, false, { 500, 256, 0 } });
    return answer;
}

bool isRead(const NodeMessage& message) { return decodeNodeMessage(encodeNodeMessage(message)).has_value(); }

template<typename Message>
bool isReadWith(Message message, const std::function<void(Message&)>& change)
{
    change(message);
    return isRead(message);
}

} // namespace

TEST_CASE("a message of another host with a value out of range isn't read")
{
    CHECK(isRead(someCall()));
    CHECK(isRead(someLoad()));
    CHECK_FALSE(isReadWith<PoolCall>(someCall(), [](auto& it) { it.targetDuration = milliseconds::max(); }));
    CHECK_FALSE(isReadWith<PoolCall>(someCall(), [](auto& it) { it.targetDuration = -1ms; }));
    CHECK_FALSE(isReadWith<PoolCall>(someCall(), [](auto& it) { it.stretchPermille = 1'000'001; }));
    CHECK_FALSE(isReadWith<PoolCall>(someCall(), [](auto& it) { it.configuration = most; }));
    CHECK_FALSE(isReadWith<PoolCallAnswer>({}, [](auto& it) { it.retryAfter = milliseconds::max(); }));
    CHECK_FALSE(isReadWith<LoadCall>({}, [](auto& it) { it.fence = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.fence = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.waitingMilliCores = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.busyMilliCores = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.workers[0].lasting.memoryMb = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.demandedMemoryMb = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.demands[0].workers = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.demands[0].milliCores = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.demands[0].memoryMb = most; }));
    CHECK_FALSE(isReadWith<LoadCallAnswer>(someLoad(), [](auto& it) { it.load.demands[0].need.milliCores = most; }));
}

TEST_CASE("a pool's demand for workers is read as it was sent")
{
    const auto message = decodeNodeMessage(encodeNodeMessage(someLoad()));
    REQUIRE(message);
    const auto& load = std::get<LoadCallAnswer>(*message).load;
    CHECK(load.demandedMemoryMb == 256);
    REQUIRE(load.demands.size() == 1);
    CHECK(load.demands[0].label == "large");
    CHECK(load.demands[0].rack == "r-1");
    CHECK(load.demands[0].need == Resources { 500, 256, 0 });
    CHECK(load.demands[0].workers == 3);
    CHECK(load.demands[0].milliCores == 1500);
    CHECK(load.demands[0].memoryMb == 768);
}

TEST_CASE("whatever is read from a damaged message lies in its ranges")
{
    FuzzInput input(20261213);
    const std::vector<std::string> frames { encodeNodeMessage(someCall()), encodeNodeMessage(PoolCallAnswer { 7, Ports::JobOutcome::Refused, JobState::Queued, 3, 500ms, "full" }), encodeNodeMessage(LoadCall { 9, "desk", { "m-1", "m-2" }, 12 }), encodeNodeMessage(someLoad()) };
    unsigned readable = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto message = decodeNodeMessage(input.mutate(frames[n % frames.size()]));
        if (!message)
            continue;
        ++readable;
        if (const auto* call = std::get_if<PoolCall>(&*message); call && validationError(call->spec).empty())
            CHECK(objectiveOf(call->spec, call->stretchPermille, call->targetDuration) >= 0ms);
        if (const auto* answer = std::get_if<LoadCallAnswer>(&*message))
            CHECK(answer->load.waitingMilliCores + answer->load.busyMilliCores >= answer->load.busyMilliCores);
    }
    CHECK(readable > 0);
}

TEST_CASE("a damaged journal is read up to the damage or as other valid records")
{
    FuzzInput input(20261214);
    std::string journal;
    const TaskKey task { "5c0e7a21d94b36f8", 0, 0, 1 };
    appendRecord(journal, JobAccepted { task.job, "r-1", 1, 3, 800ms, Common::WallTime(1786644770994ms), someSpec() });
    appendRecord(journal, RunStarted { task, 1, "i-1" });
    appendRecord(journal, RunEnded { task, 1, RunEnd::Failed, "c", Common::WallTime(1786644770999ms) });
    appendRecord(journal, JobFinished { task.job, "r-1", JobState::Failed, Common::WallTime(1786644771000ms) });
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto text = input.mutate(journal);
        std::vector<JobRecord> records;
        const bool isWhole = readRecords(text, records);
        std::string again;
        for (const auto& it : records)
            appendRecord(again, it);
        CHECK((isWhole || again.size() <= text.size() || records.empty()));
    }
}

TEST_CASE("a member's odd text doesn't give it a processor share out of range")
{
    for (const std::string share : { "-1", "0", "x", "", "4294967295", "18446744073709551616", "1e9" }) {
        CAPTURE(share);
        CHECK(parseMember("host-0", "127.0.0.1:80 imlil " + share).processorMilliCores == 1);
    }
    FuzzInput input(20261215);
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto member = parseMember("host-0", input.mutate("127.0.0.1:80 imlil 1500 leaving"));
        CHECK((member.processorMilliCores >= 1 && member.processorMilliCores <= ValueRanges::maximumAmount));
    }
}
