#include "Decision/Assignment/AssignmentCodec.h"
#include "Decision/Configuration/HeadRecord.h"
#include "Decision/Waves/BudgetRecord.h"
#include "Messages/Codec.h"
#include "Objects/ObjectWriter.h"
#include "SlopesSamples.h"
#include "SlopesSections.h"

#include <functional>

namespace Slopes {

namespace {

    Series series(const std::string& name, const std::string& per, const std::vector<unsigned>& sizes, const std::function<std::size_t(unsigned)>& bytes)
    {
        Series result { name, "bytes", per, {} };
        for (const unsigned it : sizes)
            result.points.push_back({ static_cast<double>(it), static_cast<double>(bytes(it)) });
        return result;
    }

    Series objects(const std::string& kind, unsigned SetCounts::*member)
    {
        return series("configuration document, " + kind, kind, { 100, 200, 400, 800 }, [member](unsigned n) {
            SetCounts counts;
            counts.*member = n;
            return Objects::ObjectWriter::write(makeSet(counts)).size();
        });
    }

    std::size_t headBytes(unsigned chunks)
    {
        Decision::HeadRecord head;
        head.revision = 39000;
        head.changeId = "change-0123456789abcdef";
        head.author = "operator-name";
        head.reason = "a line that says why";
        const auto hash = Decision::contentHash("chunk");
        head.chunks.assign(chunks, hash);
        head.olderChunks.assign(chunks, hash);
        head.recent.assign(Decision::maximumRecentChanges, { head.changeId, head.revision, hash });
        return Decision::encodeHead(head).size();
    }

    std::size_t budgetBytes(unsigned reserved)
    {
        Decision::BudgetRecord record;
        record.version = 1000;
        for (unsigned n = 0; n < reserved; ++n)
            record.reserved.push_back({ upstreamName(n), "wave-001", "centre-00-entry-1/1311768467463790321", Decision::ReservationPhase::Draining, 7, false, Common::WallTime(std::chrono::milliseconds(1800000000000)) });
        return Decision::encodeBudgetRecord(record).size();
    }

    std::size_t rackBytes(unsigned hosts)
    {
        Decision::WaveRackRecord record;
        for (unsigned n = 0; n < hosts; ++n)
            record.done.insert(upstreamName(n));
        return Decision::encodeWaveRackRecord(record).size();
    }

} // namespace

std::vector<Series> measureSizes()
{
    std::vector<Series> all;
    all.push_back(series("heartbeat frame, pools without use", "pool", { 8, 16, 32, 89 }, [](unsigned n) { return Messages::encode(makeHeartbeat(n, 0)).size(); }));
    all.push_back(series("heartbeat frame, one pool", "upstream in use", { 8, 16, 32, 128 }, [](unsigned n) { return Messages::encode(makeHeartbeat(1, n)).size(); }));
    all.push_back(series("assignment record", "upstream", { 100, 400, 882, 1764 }, [](unsigned n) { return Decision::encodeAssignments(makeAssignments(n, 89)).size(); }));
    all.push_back(objects("upstream", &SetCounts::upstreams));
    all.push_back(objects("pool", &SetCounts::pools));
    all.push_back(objects("service", &SetCounts::services));
    all.push_back(objects("team", &SetCounts::teams));
    all.push_back(objects("budget", &SetCounts::budgets));
    all.push_back(objects("wave", &SetCounts::waves));
    all.push_back(objects("rack", &SetCounts::racks));
    all.push_back(series("configuration head record", "chunk", { 1, 2, 4, 8 }, headBytes));
    all.push_back(series("ledger hand-over, answers of 200 bytes", "record", { 100, 400, 1600 }, [](unsigned n) { return Messages::encode(makeHandover(n, 200)).size(); }));
    all.push_back(series("budget record", "reserved host", { 1, 8, 64 }, budgetBytes));
    all.push_back(series("wave progress record of a rack", "finished host", { 4, 16, 64 }, rackBytes));
    return all;
}

} // namespace Slopes
