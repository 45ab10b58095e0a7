#pragma once

/// In-memory key-value service with leases, watches and faults, on virtual time.

#include "Decision/Membership/PlatformActions.h"
#include "Membership/Simulation.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Testing {

/// Faults that may be changed at any moment.
struct StoreFaults {
    bool down = false; ///< Calls end without effect; half of them say so.
    milliseconds longestDelay { 5 }; ///< Of a request, and again of its answer.
    unsigned lostAnswerPercent = 0; ///< Takes effect; the answer is Uncertain.
    unsigned lateEffectPercent = 0; ///< Uncertain at once; the transaction takes effect later.
    milliseconds lateEffect { 3000 };
};

class FakeStore {
public:
    using ReplyCallback = std::function<void(Decision::PlatformReplied)>;
    using WatchCallback = std::function<void(Decision::PlatformWatched)>;
    struct Item {
        std::string value;
        std::int64_t modRevision = 0;
        Ports::LeaseId lease = 0;
    };

    explicit FakeStore(Simulation&);

    /// `caller` names the host, for cuts.
    void call(const std::string& caller, const Decision::PlatformAction&, const ReplyCallback&, WatchCallback = {});
    const Item* find(const std::string& key);
    /// Keys that begin with the prefix.
    std::map<std::string, Item> list(const std::string& prefix);
    /// Puts an earlier state back, as a store restored from a copy would.
    void restore(const std::map<std::string, Item>&);

    StoreFaults faults;
    std::set<std::string> disconnectedHosts; ///< Hosts that can't reach the store.
    /// Called before every put and delete that takes effect, with the new value; a delete has none.
    std::function<void(const std::string& key, const std::string* value)> onChange;
    std::size_t calls = 0;

private:
    struct Lease {
        std::chrono::seconds timeToLive { 0 };
        Common::Instant end {};
    };
    struct Watch {
        std::string prefix;
        Decision::PlatformToken token = 0;
        std::string caller;
        WatchCallback callback;
    };

    Ports::PlatformReply execute(const Decision::PlatformAction&);
    Ports::PlatformReply transact(const Ports::Transaction&);
    void expireLeases();
    void notify(const std::string& key);
    void put(const Ports::Put&);
    void remove(const std::string& key);

    Simulation& m_simulation;
    std::map<std::string, Item> m_items;
    std::map<Ports::LeaseId, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::int64_t m_revision = 1;
    Ports::LeaseId m_nextLease = 1;
};

} // namespace Testing
