/// Days of random faults: pauses, hand-overs and restarts of hosts, cuts, and lost answers. No task runs twice, what was accepted is
/// completed and isn't denied, what was refused doesn't run, and no two hosts order the same machine.

#include "JobFleet.h"

#include <array>

#include <doctest/doctest.h>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;
using std::chrono::milliseconds;

namespace {

constexpr unsigned hostCount = 4;
constexpr unsigned workerCount = 6;

class FaultDay {
public:
    explicit FaultDay(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(hostCount, workerCount)
    {
        m_fleet.setRunTime(700ms);
        m_fleet.settle();
        for (unsigned n = 0; n < workerCount; ++n)
            m_fleet.loop.after(2500ms * n, [this, n] { m_fleet.publishWave({ n + 1, { "m" + std::to_string(n) }, 60s, 1 }); });
    }

    void play()
    {
        for (auto time = 0ms; time < 20s; time += 50ms) {
            callSome();
            if (draw(10) == 0)
                injectFault();
            m_fleet.runFor(50ms);
        }
        m_fleet.runFor(40s);
    }

    void check()
    {
        CHECK(m_fleet.runMonitor.duplicateRuns == 0);
        CHECK(m_denied == 0);
        unsigned uncompleted = 0;
        for (const auto& id : m_accepted)
            uncompleted += m_fleet.stateOf(m_fleet.hosts.begin()->first, id) == JobState::Completed ? 0 : 1;
        CHECK(uncompleted == 0);
        unsigned refusedRuns = 0;
        for (const auto& [task, runs] : m_fleet.runMonitor.running)
            refusedRuns += m_refused.contains(task.job) ? 1 : 0;
        CHECK(refusedRuns == 0);
        CHECK(ordersOfTwoHolders() == 0);
        CHECK(m_accepted.size() > 20);
        CHECK(!m_fleet.machineOrders.empty());
    }

private:
    unsigned draw(unsigned limit) { return static_cast<unsigned>(m_random() % limit); }
    milliseconds drawTime(milliseconds limit) { return milliseconds(50 + draw(static_cast<unsigned>(limit.count()))); }
    template<class Map>
    std::string drawName(const Map& map) { return std::next(map.begin(), draw(static_cast<unsigned>(map.size())))->first; }

    void call(JobVerb verb, const std::string& id, std::function<void(JobOutcome)> callback)
    {
        Ports::JobCall it;
        it.verb = verb;
        it.host = "desk.example";
        it.path = "/bookings/" + id;
        it.callerTimeout = 3s;
        if (verb == JobVerb::Submit)
            it.spec = oneStep(1 + draw(3));
        m_fleet.hosts.at(drawName(m_fleet.hosts))->node->onJobCall(std::move(it), [callback = std::move(callback)](const Ports::JobAnswer& answer) { callback(answer.outcome); });
    }

    void callSome()
    {
        if (m_fleet.hosts.empty())
            return;
        const auto id = jobId(++m_lastJob);
        call(JobVerb::Submit, id, [this, id](JobOutcome outcome) {
            if (outcome == JobOutcome::Accepted)
                m_accepted.insert(id);
            else if (outcome == JobOutcome::Refused)
                m_refused.insert(id);
        });
        if (m_accepted.empty())
            return;
        // Hosts with an outdated view lack the latest job most of all.
        for (unsigned n = 0; n < hostCount; ++n)
            call(JobVerb::Show, *m_accepted.rbegin(), [this](JobOutcome outcome) { m_denied += outcome == JobOutcome::NoSuchJob ? 1 : 0; });
    }

    void injectFault()
    {
        using Fault = void (FaultDay::*)();
        constexpr std::array<Fault, 8> faults { &FaultDay::pauseHost, &FaultDay::pauseHost, &FaultDay::stopHost, &FaultDay::restartHost, &FaultDay::cutFromStore, &FaultDay::cutFromPeers, &FaultDay::cutWorker, &FaultDay::loseAnswers };
        if (m_fleet.hosts.size() > 2)
            (this->*faults.at(draw(faults.size())))();
    }

    void pauseHost()
    {
        const auto name = drawName(m_fleet.hosts);
        m_fleet.pauseHost(name);
        const auto order = static_cast<WakeOrder>(draw(3));
        m_fleet.loop.after(drawTime(5s), [this, name, order] {
            if (m_fleet.hosts.contains(name))
                m_fleet.resumeHost(name, order);
        });
    }

    void stopHost()
    {
        const auto name = drawName(m_fleet.hosts);
        m_fleet.hosts.at(name)->node->leave([] {});
        m_fleet.loop.after(700ms, [this, name] { killAndReturn(name); });
    }

    void restartHost() { killAndReturn(drawName(m_fleet.hosts)); }

    void killAndReturn(const std::string& name)
    {
        if (!m_fleet.hosts.contains(name))
            return;
        m_fleet.killHost(name);
        m_fleet.loop.after(drawTime(3s), [this, name] { m_fleet.addHost(name); });
    }

    void cutFromStore()
    {
        const auto name = drawName(m_fleet.hosts);
        m_fleet.store.cutHosts.insert(name);
        m_fleet.loop.after(drawTime(4s), [this, name] { m_fleet.store.cutHosts.erase(name); });
    }

    void cutFromPeers()
    {
        const auto name = drawName(m_fleet.hosts);
        m_fleet.partitionedHosts.insert(name);
        m_fleet.loop.after(drawTime(3s), [this, name] { m_fleet.partitionedHosts.erase(name); });
    }

    void cutWorker()
    {
        auto& worker = *m_fleet.workers.at(drawName(m_fleet.workers));
        worker.isPartitioned = true;
        m_fleet.loop.after(drawTime(8s), [&worker] { worker.isPartitioned = false; });
    }

    void loseAnswers()
    {
        m_fleet.store.answersToLose = draw(4);
        m_fleet.store.lateEffect = milliseconds(draw(500));
        m_fleet.maintenanceAnswersToLose = draw(3);
        m_fleet.hosts.at(drawName(m_fleet.hosts))->workers->startAnswersToLose = draw(4);
    }

    /// Orders for a machine with a lower fence than an earlier one, or by another holder soon after.
    unsigned ordersOfTwoHolders() const
    {
        unsigned n = 0;
        std::map<std::string, std::pair<Common::Instant, Ports::MachineOrder>> last;
        for (const auto& [at, order] : m_fleet.machineOrders) {
            const auto it = last.find(order.machine);
            if (it != last.end()) {
                const auto& [lastAt, lastOrder] = it->second;
                const bool isOtherHolder = order.holder != lastOrder.holder;
                n += order.fence < lastOrder.fence || (isOtherHolder && (order.fence == lastOrder.fence || at - lastAt < FleetLimits().holderSilence)) ? 1 : 0;
            }
            last[order.machine] = { at, order };
        }
        return n;
    }

    std::mt19937_64 m_random;
    JobFleet m_fleet;
    unsigned m_lastJob = 0;
    unsigned m_denied = 0;
    std::set<JobId> m_accepted;
    std::set<JobId> m_refused;
};

} // namespace

TEST_CASE("on days of pauses, hand-overs, restarts, cuts and lost answers nothing runs twice, is lost or denied, and machines have one holder")
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        CAPTURE(seed);
        FaultDay day(seed);
        day.play();
        day.check();
    }
}
