#pragma once

/// Store in virtual time with compare-and-swap: answers late, loses answers, and lets writes land after their answer was lost.

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

/// How badly the store behaves.
struct StoreFaults {
    double lostAnswer = 0; ///< Share of writes that take effect with their answer lost.
    double lateEffect = 0; ///< Share of writes that take effect after their caller was told nothing.
    double notSent = 0; ///< Share of calls that never leave.
    std::chrono::milliseconds slowest { 20 }; ///< Answers take up to this long.
};

/// A reply on its way to one of the clients.
struct StoreReply {
    std::size_t client = 0;
    Decision::PlatformReplied event;
};

class FakeStore {
public:
    FakeStore(StoreFaults, std::uint64_t seed);

    void setFaults(StoreFaults faults) { m_faults = faults; }
    void call(std::size_t client, const Decision::PlatformAction&, Common::Instant now);
    /// Lets everything due happen, and hands out the replies in order.
    std::vector<StoreReply> advance(Common::Instant now);
    /// Values under a prefix, as they stand.
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
