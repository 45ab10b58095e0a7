#pragma once

/// Fake store with compare-and-swap, in virtual time. Delays and loses replies, and applies some writes after their caller
/// has got an uncertain reply.

#include "Common/Time.h"
#include "Decision/Membership/PlatformActions.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Fakes {

/// Faults of the store. Shares are from 0 to 1.
struct StoreFaults {
    double lostAnswer = 0; ///< Share of writes that take effect although their reply is lost.
    double lateEffect = 0; ///< Share of writes that take effect only after their caller has got an uncertain reply.
    double notSent = 0; ///< Share of calls that are never sent.
    std::chrono::milliseconds maximumLatency { 20 }; ///< Longest delay of a reply.
};

/// A reply to one of the clients.
struct StoreReply {
    std::size_t client = 0;
    Decision::PlatformReplied event;
};

/// Fake store; not thread-safe.
class FakeStore {
public:
    FakeStore(StoreFaults, std::uint64_t seed);

    void setFaults(StoreFaults faults) { m_faults = faults; }
    /// Schedules a read or a write of a client.
    void call(std::size_t client, const Decision::PlatformAction&, Common::Instant now);
    /// Applies everything that is due by `now` and returns the replies in order.
    std::vector<StoreReply> advance(Common::Instant now);
    /// Current values below a prefix, without delay or faults.
    std::vector<Ports::KeyValue> values(const std::string& prefix) const;
    std::uint64_t calls() const { return m_calls; }

private:
    struct Pending {
        std::size_t client = 0;
        Decision::PlatformAction action;
        bool applies = true;
        bool replies = true;
        Ports::PlatformReply reply;
    };
    bool chance(double);
    void schedule(Common::Instant, Pending);
    void run(const Pending&, std::vector<StoreReply>&);
    Ports::PlatformReply apply(const Decision::PlatformAction&);
    Ports::PlatformReply transact(const Ports::Transaction&);

    StoreFaults m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, Ports::KeyValue> m_values;
    std::multimap<Common::Instant, Pending> m_queue;
    std::int64_t m_revision = 0;
    std::uint64_t m_calls = 0;
};

} // namespace Fakes
