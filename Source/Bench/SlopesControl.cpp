#include "SlopesSections.h"
#include "SlopesWorld.h"

#include <functional>
#include <stdexcept>

namespace Slopes {

using namespace std::chrono_literals;

namespace {

    constexpr auto settling = 60s;
    constexpr auto window = 60s; ///< A multiple of every refresh interval.

    using Read = std::function<double(const Traffic&)>;

    /// What is counted.
    struct Quantity {
        std::string name;
        std::string unit;
        Read read;
    };

    const Quantity heartbeats { "heartbeats", "messages/s a host", [](const Traffic& it) { return it.heartbeats; } };
    const Quantity heartbeatBytes { "heartbeat frames", "bytes/s a host", [](const Traffic& it) { return it.heartbeatBytes; } };
    const Quantity reads { "store reads", "calls/s a host", [](const Traffic& it) { return it.reads; } };
    const Quantity replyBytes { "store replies, keys and values", "bytes/s a host", [](const Traffic& it) { return it.readBytes; } };
    const Quantity writes { "store transactions", "calls/s a host", [](const Traffic& it) { return it.writes; } };
    const Quantity renewals { "store lease renewals", "calls/s a host", [](const Traffic& it) { return it.leaseCalls; } };
    const std::vector<Quantity> everything { heartbeats, heartbeatBytes, reads, replyBytes, writes, renewals };

    Traffic steady(const WorldSize& size)
    {
        World world(size);
        world.runFor(settling);
        world.publish(0, "document"); // Hosts without a configuration ask for one more often.
        world.runFor(settling);
        if (world.memberCount() != world.hosts())
            throw std::logic_error("the hosts of a measurement didn't all join");
        world.resetTraffic();
        world.runFor(window);
        return world.traffic();
    }

    using SizeOf = std::function<WorldSize(unsigned)>;

    void sweep(std::vector<Series>& to, const std::vector<Quantity>& quantities, const std::string& where, const std::string& per, const std::vector<unsigned>& sizes, const SizeOf& sizeOf)
    {
        const std::size_t first = to.size();
        for (const auto& it : quantities)
            to.push_back({ it.name + " (" + where + ")", it.unit, per, {} });
        for (const unsigned n : sizes) {
            const WorldSize size = sizeOf(n);
            const Traffic traffic = steady(size);
            const double share = size.dataCentres * size.members * std::chrono::duration<double>(window).count();
            for (std::size_t i = 0; i < quantities.size(); ++i)
                to[first + i].points.push_back({ static_cast<double>(n), quantities[i].read(traffic) / share });
        }
    }

    struct Change {
        Traffic traffic;
        WorldSize size;
    };

    /// Traffic of one change of a document that is in force, beyond what the hosts send anyway.
    Change change(const WorldSize& size, std::size_t documentBytes)
    {
        constexpr auto spreading = 60s; // A multiple of every refresh interval, so that the rest can be taken off.
        World world(size);
        world.runFor(settling);
        std::string document(documentBytes, 'd');
        for (std::size_t i = 0; i < document.size(); ++i)
            document[i] = static_cast<char>('a' + i / 1000 % 26);
        world.publish(0, document);
        world.runFor(settling);
        world.resetTraffic();
        document.front() = 'x';
        world.publish(1, document);
        world.runFor(spreading);
        if (world.inForce(2) != world.hosts())
            throw std::logic_error("a change of a measurement isn't in force everywhere");
        Change to { world.traffic(), size };
        world.resetTraffic();
        world.runFor(spreading);
        const Traffic& rest = world.traffic();
        to.traffic.reads -= rest.reads;
        to.traffic.readBytes -= rest.readBytes;
        to.traffic.writes -= rest.writes;
        to.traffic.writtenBytes -= rest.writtenBytes;
        return to;
    }

    void sweepChange(std::vector<Series>& to, const std::string& where, const std::string& per, const std::vector<unsigned>& sizes, const std::function<Change(unsigned)>& run)
    {
        const std::vector<Quantity> counted {
            { "peer frames", "messages, all hosts", [](const Traffic& it) { return it.otherFrames; } },
            { "peer frames", "bytes, all hosts", [](const Traffic& it) { return it.otherFrameBytes; } },
            { "store reads", "calls, all hosts", [](const Traffic& it) { return it.reads; } },
            { "store replies", "bytes, all hosts", [](const Traffic& it) { return it.readBytes; } },
            { "store transactions", "calls, all hosts", [](const Traffic& it) { return it.writes; } },
            { "store puts", "bytes, all hosts", [](const Traffic& it) { return it.writtenBytes; } },
        };
        const std::size_t first = to.size();
        for (const auto& it : counted)
            to.push_back({ it.name + " (" + where + ")", it.unit, per, {} });
        for (const unsigned n : sizes) {
            const Change measured = run(n);
            for (std::size_t i = 0; i < counted.size(); ++i)
                to[first + i].points.push_back({ static_cast<double>(n), counted[i].read(measured.traffic) });
        }
    }

    /// Calls from the start of every host at once until all are members.
    Series restart()
    {
        Series to { "store calls in the 30 s after all hosts start anew (4 a data centre)", "calls, all hosts", "data centre", {} };
        for (const unsigned n : { 1U, 2U, 4U, 8U }) {
            World world({ n, 4, 8, 80 });
            world.runFor(settling);
            world.restartAll();
            world.resetTraffic();
            world.runFor(30s);
            if (world.memberCount() != world.hosts())
                throw std::logic_error("the hosts of a measurement didn't all join again");
            const Traffic& it = world.traffic();
            to.points.push_back({ static_cast<double>(n), it.reads + it.writes + it.leaseCalls + it.watches });
        }
        return to;
    }

    /// Hosts take themselves for the only one alive while they start, and a watch can't be taken back.
    Series watches()
    {
        Series to { "store watches set up in the first 60 s (1 data centre)", "watches, all hosts", "member", {} };
        for (const unsigned n : { 2U, 4U, 8U }) {
            World world({ 1, n, 8, 80 });
            world.runFor(settling);
            to.points.push_back({ static_cast<double>(n), world.traffic().watches });
        }
        return to;
    }

} // namespace

std::vector<Series> measureControl()
{
    std::vector<Series> all;
    sweep(all, everything, "1 data centre, 8 pools, 80 upstreams", "member", { 2, 4, 8 }, [](unsigned n) { return WorldSize { 1, n, 8, 80 }; });
    sweep(all, everything, "4 members a data centre, 8 pools, 80 upstreams", "data centre", { 1, 2, 4, 8 }, [](unsigned n) { return WorldSize { n, 4, 8, 80 }; });
    sweep(all, { heartbeatBytes }, "1 data centre, 4 members, 80 upstreams", "pool", { 8, 16, 32, 64 }, [](unsigned n) { return WorldSize { 1, 4, n, 80 }; });
    sweep(all, { replyBytes }, "1 data centre, 4 members, 8 pools", "upstream of the data centre", { 80, 160, 320, 640 }, [](unsigned n) { return WorldSize { 1, 4, 8, n }; });
    all.push_back(restart());
    all.push_back(watches());
    return all;
}

std::vector<Series> countDesignSize()
{
    std::vector<Series> all;
    sweep(all, everything, "whole", "run", { 1 }, [](unsigned) { return WorldSize { 17, 8, 89, 882 }; });
    return all;
}

std::vector<Series> measureRollOut()
{
    std::vector<Series> all;
    sweepChange(all, "document of 100 kB, 1 data centre", "member", { 2, 4, 8 }, [](unsigned n) { return change({ 1, n, 8, 80 }, 100000); });
    sweepChange(all, "document of 100 kB, 4 members", "data centre", { 1, 2, 4, 8 }, [](unsigned n) { return change({ n, 4, 8, 80 }, 100000); });
    sweepChange(all, "1 data centre, 4 members", "kB of document", { 100, 400, 1600, 2260 }, [](unsigned n) { return change({ 1, 4, 8, 80 }, std::size_t { n } * 1000); });
    return all;
}

} // namespace Slopes
