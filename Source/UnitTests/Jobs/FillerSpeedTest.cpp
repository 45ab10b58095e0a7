/// Tests of orders that set a filler's speed: what follows when they aren't answered, and when an owner hasn't given them itself.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Runtime/WorkerSession.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr auto pollInterval = 400ms;
constexpr std::uint64_t calm = 20; ///< Latency in milliseconds, far below the target.
constexpr std::uint64_t overTarget = 150;

/// The owner of a pool with one worker, on which a task with a latency target (job 1) and a filler (job 2) run.
class SharedWorker {
public:
    SharedWorker()
    {
        core.finishLoad(at());
        core.onWorkerListed(workerEntry(), at());
        core.onPollAnswer("w0", {}, m_now, at());
        auto serving = longRunningStep(1);
        serving.steps.front().targetLatency = 100ms;
        core.submit(jobId(1), {}, serving, at());
        auto filler = oneStep(1, 4s);
        filler.steps.front().isFiller = true;
        core.submit(jobId(2), {}, filler, at());
        core.decide(at());
        takeOutput();
        REQUIRE(orders<StartRun>().size() == 2);
        for (const auto& it : orders<StartRun>()) {
            core.onStartSent(it, at());
            core.onStartAnswer(it, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at());
            (it.task.job == jobId(1) ? m_serving : m_filler) = it;
        }
    }

    /// The next owner, which loads the journal.
    void takeOver()
    {
        core = PoolCore(PoolLimits {});
        core.load(m_records);
        core.finishLoad(at());
        core.onWorkerListed(workerEntry(), at());
    }

    /// The worker answers a poll `pollInterval` after the last one; without a latency, nothing but the filler runs.
    void poll(unsigned fillerPercent, std::uint64_t latency)
    {
        m_now += pollInterval;
        Ports::PollAnswer answer;
        answer.running.push_back({ m_filler.task, m_filler.run, "", fillerPercent, 0 });
        if (latency > 0)
            answer.running.push_back({ m_serving.task, m_serving.run, "", 100, latency });
        else if (!std::exchange(m_hasServingEnded, true))
            answer.ended.push_back({ 1, m_serving.task, m_serving.run, RunEnd::Stopped, "" });
        core.onPollAnswer("w0", answer, m_now - 1ms, at());
        takeOutput();
    }

    /// Polls until the filler is paused.
    void pause(unsigned fillerPercent)
    {
        for (unsigned n = 0; n < 4; ++n) {
            poll(fillerPercent, overTarget);
            if (const auto given = orders<ThrottleRun>(); !given.empty() && given.back().percent == 0)
                return;
        }
        FAIL("the filler isn't paused");
    }

    /// Orders of that kind since the last poll.
    template<typename Order>
    std::vector<Order> orders() const
    {
        std::vector<Order> result;
        for (const auto& it : m_orders) {
            if (const auto* order = std::get_if<Order>(&it))
                result.push_back(*order);
        }
        return result;
    }

    PoolCore core { PoolLimits {} };

private:
    static WorkerEntry workerEntry()
    {
        WorkerEntry entry;
        entry.id = "w0";
        entry.address = "w0:1";
        entry.capacity = { 4000, 16000, 0 };
        return entry;
    }

    Common::Moment at() const { return { m_now, Common::WallTime(2000s) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()) }; }

    void takeOutput()
    {
        auto output = core.takeOutput();
        m_records.insert(m_records.end(), output.records.begin(), output.records.end());
        m_orders = std::move(output.orders);
    }

    Common::Instant m_now { 1h };
    std::vector<JobRecord> m_records;
    std::vector<PoolOrder> m_orders;
    StartRun m_serving;
    StartRun m_filler;
    bool m_hasServingEnded = false;
};

/// Keeps orders until the test answers them.
class HeldThrottles final : public Ports::WorkerPort {
public:
    void start(const Ports::StartOrder&, Ports::WorkerCallback) override { }
    void stop(const Ports::StopOrder&, Ports::WorkerCallback) override { }
    void poll(const Ports::PollOrder&, Ports::PollCallback) override { }
    void throttle(const Ports::ThrottleOrder& order, Ports::WorkerCallback callback) override
    {
        percents.push_back(order.percent);
        m_callbacks.push_back(std::move(callback));
    }

    void answer(std::size_t number, Ports::WorkerStatus status) { std::exchange(m_callbacks.at(number), nullptr)({ status, Ports::WorkerRefusal::None, {} }); }

    std::vector<unsigned> percents; ///< Of all attempts so far.

private:
    std::vector<Ports::WorkerCallback> m_callbacks;
};

/// A session with a worker that runs a filler.
struct ThrottledSession {
    ThrottledSession()
    {
        WorkerSession::Hooks hooks;
        hooks.mayExtendLease = [] { return true; };
        hooks.needsLatencyPoll = [] { return true; };
        hooks.newestFence = [] { return Fence(1); };
        hooks.needsThrottle = [this](const ThrottleRun& order) { return order.percent == wanted; };
        WorkerEntry entry;
        entry.id = "w0";
        entry.address = "w0:1";
        session = std::make_unique<WorkerSession>(loop, port, SessionLimits {}, 1, entry, hooks);
        session->begin();
    }

    void throttle(unsigned percent)
    {
        wanted = percent;
        session->throttle({ { jobId(2), 0, 0, 0 }, 1, "w0", percent });
    }

    VirtualLoop loop;
    HeldThrottles port;
    unsigned wanted = 100;
    std::unique_ptr<WorkerSession> session;
};

} // namespace

// It counted as having run at full speed since it was paused: it was stopped, and its worker got no tasks for 3 s.
TEST_CASE("a filler that was paused for long isn't stopped as stalled at the first poll after its release")
{
    SharedWorker it;
    it.pause(7);
    for (unsigned n = 0; n < 25; ++n)
        it.poll(7, overTarget);
    it.poll(7, 0);
    REQUIRE(it.orders<ThrottleRun>().size() == 1);
    CHECK(it.orders<ThrottleRun>().front().percent == 100);
    it.poll(7, 0);
    CHECK(it.orders<StopRun>().empty());
    // One that makes no progress after that is stopped.
    for (unsigned n = 0; n < 12 && it.orders<StopRun>().empty(); ++n)
        it.poll(7, 0);
    CHECK(it.orders<StopRun>().size() == 1);
}

// The owner took it for a run at full speed: no order released it, and it was stopped as stalled.
TEST_CASE("a filler that an earlier owner has paused is released by the next one")
{
    SharedWorker it;
    it.pause(7);
    it.takeOver();
    it.poll(7, calm);
    const auto given = it.orders<ThrottleRun>();
    REQUIRE(given.size() == 1);
    CHECK(given.front().percent > 0);
    it.poll(7, calm);
    CHECK(it.orders<StopRun>().empty());
}

// The order was lost: the filler ran at full speed, and its owner ordered nothing more.
TEST_CASE("an order for a filler's speed is repeated until it is answered")
{
    ThrottledSession it;
    it.throttle(0);
    for (std::size_t n = 0; n < 6; ++n) {
        REQUIRE(it.port.percents.size() == n + 1);
        it.port.answer(n, n % 2 == 0 ? Ports::WorkerStatus::NoAnswer : Ports::WorkerStatus::Unhealthy);
        it.loop.runFor(2s);
    }
    it.port.answer(6, Ports::WorkerStatus::Done);
    it.loop.runFor(10s);
    CHECK(it.port.percents == std::vector<unsigned>(7, 0));
}

// The filler worked at the earlier speed from then on, while its owner counted it as paused.
TEST_CASE("the second attempt of an order for a filler's speed doesn't follow a later order")
{
    ThrottledSession it;
    it.throttle(33);
    it.throttle(0);
    it.port.answer(0, Ports::WorkerStatus::NoAnswer);
    it.port.answer(1, Ports::WorkerStatus::Done);
    it.loop.runFor(10s);
    CHECK(it.port.percents.back() == 0);
}
