#include "SlopesSections.h"
#include "SlopesWorld.h"

#include <functional>
#include <stdexcept>

namespace Slopes {

using namespace std::chrono_literals;

namespace {

    constexpr auto settlingTime = 60s;
    constexpr auto window = 60s; ///< Length of a measurement: a multiple of every refresh interval.

    using Getter = std::function<double(const Traffic&)>;

    /// A total of the traffic, as it is named in the tables.
    struct Quantity {
        std::string name;
        std::string unit;
        Getter get;
    };

    const Quantity heartbeats { "heartbeats", "messages/s a host", [](const Traffic& it) { return it.heartbeats; } };
    const Quantity heartbeatBytes { "heartbeat frames", "bytes/s a host", [](const Traffic& it) { return it.heartbeatBytes; } };
    const Quantity reads { "store reads", "calls/s a host", [](const Traffic& it) { return it.reads; } };
    const Quantity replyBytes { "store replies, keys and values", "bytes/s a host", [](const Traffic& it) { return it.readBytes; } };
    const Quantity writes { "store transactions", "calls/s a host", [](const Traffic& it) { return it.writes; } };
    const Quantity renewals { "store lease renewals", "calls/s a host", [](const Traffic& it) { return it.leaseCalls; } };
    const std::vector<Quantity> allQuantities { heartbeats, heartbeatBytes, reads, replyBytes, writes, renewals };

    /// Traffic of all hosts without load over one window, with a configuration in force.
    Traffic measureSteady(const WorldSize& size)
    {
        World world(size);
        world.runFor(settlingTime);
        world.publish(0, "document"); // Hosts without a configuration request one more often.
        world.runFor(settlingTime);
        if (world.memberCount() != world.hostCount())
            throw std::logic_error("not all hosts joined the view of their data centre before the measurement");
        world.resetTraffic();
        world.runFor(window);
        return world.traffic();
    }

    using SizeOf = std::function<WorldSize(unsigned)>;

    /// Appends a series per quantity: its rate for each host and second, measured at each of the sizes.
    void sweep(std::vector<Series>& results, const std::vector<Quantity>& quantities, const std::string& setup, const std::string& per, const std::vector<unsigned>& sizes, const SizeOf& sizeOf)
    {
        const std::size_t first = results.size();
        for (const auto& it : quantities)
            results.push_back({ it.name + " (" + setup + ")", it.unit, per, {} });
        for (const unsigned n : sizes) {
            const WorldSize size = sizeOf(n);
            const Traffic traffic = measureSteady(size);
            const double hostSeconds = size.dataCentres * size.members * std::chrono::duration<double>(window).count();
            for (std::size_t i = 0; i < quantities.size(); ++i)
                results[first + i].points.push_back({ static_cast<double>(n), quantities[i].get(traffic) / hostSeconds });
        }
    }

    /// Traffic that one change of the configuration causes.
    struct ChangeTraffic {
        Traffic traffic;
        WorldSize size;
    };

    /// Traffic of one change of a document that is in force, less the steady traffic of the hosts.
    ChangeTraffic measureChange(const WorldSize& size, std::size_t documentBytes)
    {
        constexpr auto rollOutTime = 60s; // A multiple of every refresh interval, so that the steady traffic can be subtracted.
        World world(size);
        world.runFor(settlingTime);
        std::string document(documentBytes, 'd');
        for (std::size_t i = 0; i < document.size(); ++i)
            document[i] = static_cast<char>('a' + i / 1000 % 26);
        world.publish(0, document);
        world.runFor(settlingTime);
        world.resetTraffic();
        document.front() = 'x';
        world.publish(1, document);
        world.runFor(rollOutTime);
        if (world.inForce(2) != world.hostCount())
            throw std::logic_error("not all hosts have the changed configuration in force after the roll-out");
        ChangeTraffic result { world.traffic(), size };
        world.resetTraffic();
        world.runFor(rollOutTime);
        const Traffic& steadyTraffic = world.traffic();
        result.traffic.reads -= steadyTraffic.reads;
        result.traffic.readBytes -= steadyTraffic.readBytes;
        result.traffic.writes -= steadyTraffic.writes;
        result.traffic.writtenBytes -= steadyTraffic.writtenBytes;
        return result;
    }

    /// Appends a series per quantity: its total over all hosts for one change, measured at each of the sizes.
    void sweepChange(std::vector<Series>& results, const std::string& setup, const std::string& per, const std::vector<unsigned>& sizes, const std::function<ChangeTraffic(unsigned)>& run)
    {
        const std::vector<Quantity> counted {
            { "peer frames", "messages, all hosts", [](const Traffic& it) { return it.otherFrames; } },
            { "peer frames", "bytes, all hosts", [](const Traffic& it) { return it.otherFrameBytes; } },
            { "store reads", "calls, all hosts", [](const Traffic& it) { return it.reads; } },
            { "store replies", "bytes, all hosts", [](const Traffic& it) { return it.readBytes; } },
            { "store transactions", "calls, all hosts", [](const Traffic& it) { return it.writes; } },
            { "store puts", "bytes, all hosts", [](const Traffic& it) { return it.writtenBytes; } },
        };
        const std::size_t first = results.size();
        for (const auto& it : counted)
            results.push_back({ it.name + " (" + setup + ")", it.unit, per, {} });
        for (const unsigned n : sizes) {
            const ChangeTraffic change = run(n);
            for (std::size_t i = 0; i < counted.size(); ++i)
                results[first + i].points.push_back({ static_cast<double>(n), counted[i].get(change.traffic) });
        }
    }

    /// Store calls in the first 30 s after all hosts restart at once. All must be members again at the end of that time.
    Series restart()
    {
        Series result { "store calls in the 30 s after all hosts start anew (4 a data centre)", "calls, all hosts", "data centre", {} };
        for (const unsigned n : { 1U, 2U, 4U, 8U }) {
            World world({ n, 4, 8, 80 });
            world.runFor(settlingTime);
            world.restartAll();
            world.resetTraffic();
            world.runFor(30s);
            if (world.memberCount() != world.hostCount())
                throw std::logic_error("not all hosts rejoined the view of their data centre within 30 s of their restart");
            const Traffic& it = world.traffic();
            result.points.push_back({ static_cast<double>(n), it.reads + it.writes + it.leaseCalls + it.watches });
        }
        return result;
    }

    /// Store watches set up in the first 60 s. A starting host takes itself for the only one alive, so it may watch more than
    /// it needs later, and a watch can't be cancelled.
    Series watches()
    {
        Series result { "store watches set up in the first 60 s (1 data centre)", "watches, all hosts", "member", {} };
        for (const unsigned n : { 2U, 4U, 8U }) {
            World world({ 1, n, 8, 80 });
            world.runFor(settlingTime);
            result.points.push_back({ static_cast<double>(n), world.traffic().watches });
        }
        return result;
    }

} // namespace

std::vector<Series> measureControl()
{
    std::vector<Series> all;
    sweep(all, allQuantities, "1 data centre, 8 pools, 80 upstreams", "member", { 2, 4, 8 }, [](unsigned n) { return WorldSize { 1, n, 8, 80 }; });
    sweep(all, allQuantities, "4 members a data centre, 8 pools, 80 upstreams", "data centre", { 1, 2, 4, 8 }, [](unsigned n) { return WorldSize { n, 4, 8, 80 }; });
    sweep(all, { heartbeatBytes }, "1 data centre, 4 members, 80 upstreams", "pool", { 8, 16, 32, 64 }, [](unsigned n) { return WorldSize { 1, 4, n, 80 }; });
    sweep(all, { replyBytes }, "1 data centre, 4 members, 8 pools", "upstream of the data centre", { 80, 160, 320, 640 }, [](unsigned n) { return WorldSize { 1, 4, 8, n }; });
    all.push_back(restart());
    all.push_back(watches());
    return all;
}

std::vector<Series> countDesignSize()
{
    std::vector<Series> all;
    sweep(all, allQuantities, "whole", "run", { 1 }, [](unsigned) { return WorldSize { 17, 8, 89, 882 }; });
    return all;
}

std::vector<Series> measureRollOut()
{
    std::vector<Series> all;
    sweepChange(all, "document of 100 kB, 1 data centre", "member", { 2, 4, 8 }, [](unsigned n) { return measureChange({ 1, n, 8, 80 }, 100000); });
    sweepChange(all, "document of 100 kB, 4 members", "data centre", { 1, 2, 4, 8 }, [](unsigned n) { return measureChange({ n, 4, 8, 80 }, 100000); });
    sweepChange(all, "1 data centre, 4 members", "kB of document", { 100, 400, 1600, 2260 }, [](unsigned n) { return measureChange({ 1, 4, 8, 80 }, std::size_t { n } * 1000); });
    return all;
}

} // namespace Slopes
