#include "Decision/Requests/RequestCore.h"
#include "Messages/Codec.h"
#include "SlopesMemory.h"
#include "SlopesSamples.h"
#include "SlopesSections.h"

#include <functional>
#include <stdexcept>

namespace Slopes {

using namespace Decision;
using namespace std::chrono_literals;

namespace {

    const HostId self = "centre-00-entry-1";
    const std::string dataCentre = "centre-00";
    constexpr std::size_t bodyBytes = 200;
    constexpr Common::WallTime startTime { 1800000000000ms };
    constexpr Common::WallTime minuteLater { 1800000060000ms };

    Series series(const std::string& name, const std::string& per, const std::vector<unsigned>& sizes, const std::function<std::size_t(unsigned)>& bytes)
    {
        Series result { name, "bytes of heap", per, {} };
        for (const unsigned it : sizes)
            result.points.push_back({ static_cast<double>(it), static_cast<double>(bytes(it)) });
        return result;
    }

    Messages::Bytes body()
    {
        return std::make_shared<const std::string>(bodyBytes, 'b');
    }

    /// Heap bytes of finished claims of another host, each with an answer of bodyBytes.
    std::size_t ledgerBytes(unsigned records)
    {
        const HostId claimant = "centre-00-entry-2";
        const auto core = RequestCore::create({ self, dataCentre, 7, 7 }, {});
        const Moment first { Common::Instant(1000s), startTime };
        core->setConfiguration(first, std::make_shared<const Objects::ObjectSet>(makeSet({})), 1);
        core->setView(first, { 1, { self } });
        core->setAlive(first, { self });
        core->takeActions();
        const Moment at { Common::Instant(1060s), minuteLater };
        const auto before = heapInUse();
        for (unsigned n = 0; n < records; ++n) {
            const Messages::ClaimKey key { poolName(0), "team-001", makeKey(minuteLater, n) };
            core->peerMessage(at, claimant, Messages::ClaimRequest { n + 1, key, n, 1 });
            core->peerMessage(at, claimant, Messages::ClaimFinished { key, { Ports::Outcome::Done, Ports::Reason::None, 0ms, 200, "application/json", body() } });
            core->takeActions();
        }
        if (core->ledgerRecords() != records)
            throw std::logic_error("the request core refused a claim, so the ledger has fewer records than expected");
        return heapInUse() - before;
    }

    Ports::CallerRequest request(unsigned number)
    {
        Ports::CallerRequest result;
        result.handle = number + 1;
        result.service = "service-000";
        result.team = "team-001";
        result.priority = "normal";
        result.idempotent = true;
        result.timeLeft = 60s;
        result.body = body();
        result.contentType = "application/json";
        return result;
    }

    /// Heap bytes of requests that run or are queued at the owner of their pool.
    std::size_t openBytes(unsigned requests)
    {
        const auto core = RequestCore::create({ self, dataCentre, 7, 7 }, {});
        auto set = makeSet({});
        set.teams["team-001"].slotQuota = requests;
        const Moment at { Common::Instant(1000s), minuteLater };
        core->setConfiguration(at, std::make_shared<const Objects::ObjectSet>(std::move(set)), 1);
        core->setView(at, { 1, { self } });
        core->setAlive(at, { self });
        std::vector<PoolUpstream> upstreams;
        for (unsigned n = 0; n < 32; ++n)
            upstreams.push_back({ upstreamName(n), "127.0.0.1:18100", 8 });
        core->setUpstreams(at, poolName(0), upstreams);
        core->takeActions();
        const auto before = heapInUse();
        for (unsigned n = 0; n < requests; ++n) {
            core->onCallerRequest(at, request(n));
            core->takeActions();
        }
        if (core->open() != requests)
            throw std::logic_error("the request core refused a request, so fewer are open than expected");
        return heapInUse() - before;
    }

    /// Heap bytes of a set of objects.
    std::size_t setBytes(unsigned upstreams)
    {
        const auto before = heapInUse();
        SetCounts counts;
        counts.upstreams = upstreams;
        const auto set = makeSet(counts);
        return heapInUse() - before;
    }

    /// Heap bytes of an assignment record.
    std::size_t assignmentBytes(unsigned upstreams)
    {
        const auto before = heapInUse();
        const auto record = makeAssignments(upstreams, 89);
        return heapInUse() - before;
    }

    /// Heap bytes of the slot tables of pools with ten upstreams each.
    std::size_t slotBytes(unsigned upstreams)
    {
        constexpr unsigned upstreamsPerPool = 10;
        SetCounts counts;
        counts.pools = upstreams / upstreamsPerPool;
        counts.upstreams = upstreams;
        const auto core = RequestCore::create({ self, dataCentre, 7, 7 }, {});
        const Moment at { Common::Instant(1000s), minuteLater };
        core->setConfiguration(at, std::make_shared<const Objects::ObjectSet>(makeSet(counts)), 1);
        core->setAlive(at, { self });
        const auto before = heapInUse();
        for (unsigned pool = 0; pool < counts.pools; ++pool) {
            std::vector<PoolUpstream> poolUpstreams;
            for (unsigned n = 0; n < upstreamsPerPool; ++n)
                poolUpstreams.push_back({ upstreamName(pool * upstreamsPerPool + n), "127.0.0.1:18100", 8 });
            core->setUpstreams(at, poolName(pool), poolUpstreams);
        }
        return heapInUse() - before;
    }

    /// Bytes of the frames in which a host that joins seven others requests the ledger records of the pools that it owns.
    std::size_t joinBytes(unsigned pools)
    {
        SetCounts counts;
        counts.pools = pools;
        const auto core = RequestCore::create({ self, dataCentre, 7, 7 }, {});
        const Moment at { Common::Instant(1000s), minuteLater };
        core->setConfiguration(at, std::make_shared<const Objects::ObjectSet>(makeSet(counts)), 1);
        LedgerView view { 2, { self } };
        for (unsigned n = 2; n <= 8; ++n)
            view.members.push_back("centre-00-entry-" + std::to_string(n));
        core->setView(at, view);
        core->setAlive(at, view.members);
        core->tick(at);
        std::size_t bytes = 0;
        for (const auto& action : core->takeActions()) {
            if (const auto* it = std::get_if<SendPeer>(&action))
                bytes += Messages::encode(it->message).size();
        }
        return bytes;
    }

    std::vector<Point> joinPoints()
    {
        std::vector<Point> points;
        for (const unsigned it : { 8U, 16U, 32U, 89U })
            points.push_back({ static_cast<double>(it), static_cast<double>(joinBytes(it)) });
        return points;
    }

} // namespace

std::vector<Series> measureMemory()
{
    return {
        series("ledger, finished claims with answers of 200 bytes", "record", { 1000, 4000, 16000 }, ledgerBytes),
        series("request core, bodies of 200 bytes", "open request", { 500, 1000, 2000, 4000 }, openBytes),
        series("object set", "upstream", { 1000, 4000, 15000 }, setBytes),
        series("assignment record in memory", "upstream", { 100, 400, 882, 1764 }, assignmentBytes),
        series("slot tables", "upstream", { 100, 400, 890, 1780 }, slotBytes),
        { "questions for ledger records, host that joins seven", "bytes of frames", "pool", joinPoints() },
    };
}

} // namespace Slopes
