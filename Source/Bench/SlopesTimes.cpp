#include "Decision/Assignment/AssignmentCodec.h"
#include "Decision/Requests/RequestCore.h"
#include "Decision/Waves/WavePlanner.h"
#include "Messages/Codec.h"
#include "Objects/ObjectSetLoader.h"
#include "Objects/ObjectWriter.h"
#include "SlopesSamples.h"
#include "SlopesSections.h"
#include "Waves/FakeStore.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <stdexcept>

namespace Slopes {

using namespace Decision;
using namespace std::chrono_literals;

namespace {

    /// Processor time of this thread in microseconds, which other processes on the machine do not add to.
    double cpuMicroseconds()
    {
        timespec at {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
        return static_cast<double>(at.tv_sec) * 1e6 + static_cast<double>(at.tv_nsec) / 1e3;
    }

    /// Median processor time of a call over that many rounds, in microseconds.
    double median(unsigned rounds, const std::function<void()>& call)
    {
        std::vector<double> times;
        for (unsigned n = 0; n < rounds; ++n) {
            const double begin = cpuMicroseconds();
            call();
            times.push_back(cpuMicroseconds() - begin);
        }
        std::nth_element(times.begin(), times.begin() + rounds / 2, times.end());
        return times[rounds / 2];
    }

    Series series(const std::string& name, const std::string& per, const std::vector<unsigned>& sizes, const std::function<double(unsigned)>& microseconds)
    {
        Series result { name, "us of processor time", per, {} };
        for (const unsigned it : sizes)
            result.points.push_back({ static_cast<double>(it), microseconds(it) });
        return result;
    }

    double encodeTime(unsigned pools)
    {
        const auto beat = makeHeartbeat(pools, 10);
        return median(201, [&] { Messages::encode(beat); });
    }

    double decodeTime(unsigned pools)
    {
        const auto frame = Messages::encode(makeHeartbeat(pools, 10));
        return median(201, [&] { (void)Messages::decode(frame).isOk(); });
    }

    double documentTime(unsigned upstreams)
    {
        SetCounts counts;
        counts.upstreams = upstreams;
        const auto text = Objects::ObjectWriter::write(makeSet(counts));
        return median(upstreams > 4000 ? 3 : 7, [&] {
            if (!Objects::ObjectSetLoader::loadText("set", text))
                throw std::logic_error("the generated set of objects is not valid");
        });
    }

    double assignmentTime(unsigned upstreams)
    {
        const auto text = encodeAssignments(makeAssignments(upstreams, 89));
        return median(21, [&] { (void)decodeAssignments(text).isOk(); });
    }

    /// Collecting the content of one heartbeat, on a host that owns all pools, of ten upstreams each.
    double loadsTime(unsigned upstreams)
    {
        constexpr unsigned upstreamsPerPool = 10;
        SetCounts counts;
        counts.pools = upstreams / upstreamsPerPool;
        counts.upstreams = upstreams;
        const auto core = RequestCore::create({ "entry-1", "centre-00", 7, 7 }, {});
        const Moment at { Common::Instant(1000s), Common::WallTime(1800000000000ms) };
        core->setConfiguration(at, std::make_shared<const Objects::ObjectSet>(makeSet(counts)), 1);
        core->setAlive(at, { "entry-1" });
        for (unsigned pool = 0; pool < counts.pools; ++pool) {
            std::vector<PoolUpstream> poolUpstreams;
            for (unsigned n = 0; n < upstreamsPerPool; ++n)
                poolUpstreams.push_back({ upstreamName(pool * upstreamsPerPool + n), "127.0.0.1:18100", 8 });
            core->setUpstreams(at, poolName(pool), poolUpstreams);
        }
        return median(101, [&] { core->loads(at.now); });
    }

    /// A view of hosts that are all up, in pools of ten, each in a rack of its own within its pool.
    FleetView makeFleetView(unsigned hosts)
    {
        constexpr unsigned hostsPerPool = 10;
        FleetView view;
        for (unsigned n = 0; n < hosts; ++n) {
            HostView host;
            host.name = upstreamName(n);
            host.pool = host.homePool = poolName(n / hostsPerPool);
            host.rack = "rack-" + std::to_string(n % hostsPerPool);
            host.health = HostHealth::Up;
            host.incarnation = 1;
            host.serving = true;
            view.hosts.push_back(host);
        }
        return view;
    }

    /// One step of a wave over all pools, with as many hosts reserved as the budgets allow.
    double plannerTime(unsigned hosts)
    {
        const auto view = makeFleetView(hosts);
        LedgerSettings settings { "centre-00", "entry-1", {}, {} };
        Objects::Wave wave;
        wave.name = "wave";
        wave.windowLength = std::chrono::hours(24 * 21);
        for (unsigned n = 0; n < hosts / 10; ++n) {
            settings.budgets.push_back({ "service-" + std::to_string(n), poolName(n), 50 });
            wave.pools.push_back(poolName(n));
        }
        const auto ledger = BudgetLedger::create(settings).take();
        WavePlannerSettings planning;
        planning.dataCentre = "centre-00";
        planning.holder = "entry-1";
        const auto planner = WavePlanner::create(planning, wave, *ledger).take();
        planner->setDutyEnd(Common::Instant::max());
        Fakes::FakeStore store({}, 1);
        Common::Instant now(1000s);
        std::vector<double> times;
        for (unsigned n = 0; n < 25; ++n) {
            now += 1s;
            const double begin = cpuMicroseconds();
            const auto output = planner->tick(now, Common::WallTime(std::chrono::seconds(n)), view);
            times.push_back(cpuMicroseconds() - begin);
            for (const auto& call : output.calls)
                store.call(0, call, now);
            for (unsigned turn = 0; turn < 10; ++turn) {
                for (const auto& reply : store.advance(now + 100ms * (turn + 1) / 2)) {
                    for (const auto& call : ledger->handle(reply.event))
                        store.call(0, call, now);
                }
            }
        }
        if (ledger->reservations().empty())
            throw std::logic_error("the wave planner reserved no hosts, so the measured steps are idle ones");
        std::sort(times.begin(), times.end());
        return times[times.size() / 2];
    }

} // namespace

std::vector<Series> measureTimes()
{
    return {
        series("heartbeat encoded, 10 upstreams in use a pool", "pool", { 4, 11, 32, 89 }, encodeTime),
        series("heartbeat decoded, 10 upstreams in use a pool", "pool", { 4, 11, 32, 89 }, decodeTime),
        series("heartbeat content gathered (RequestCore::loads)", "upstream owned", { 50, 110, 440, 890 }, loadsTime),
        series("document parsed and validated", "upstream", { 500, 1000, 2000, 4000, 15000 }, documentTime),
        series("assignment record decoded", "upstream", { 100, 400, 882, 1764 }, assignmentTime),
        series("wave planner, one step, pools of ten hosts", "host", { 100, 200, 400, 880 }, plannerTime),
    };
}

} // namespace Slopes
