#pragma once

/// In-memory key-value store with leases, watches and injected faults, on virtual time.

#include "Decision/Membership/PlatformActions.h"
#include "Membership/Simulation.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Testing {

/// Faults to inject; may be changed at any time.
struct StoreFaults {
    bool down = false; ///< Calls have no effect; half of them are answered NotSent, the others Uncertain.
    milliseconds longestDelay { 5 }; ///< Of a request, and of its answer.
    unsigned lostAnswerPercent = 0; ///< Calls that take effect and are answered Uncertain.
    unsigned lateEffectPercent = 0; ///< Transactions that are answered Uncertain at once and take effect later.
    milliseconds lateEffect { 3000 }; ///< The longest delay until they do.
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

    /// `caller` is the host that calls; its calls fail while it is in `disconnectedHosts`.
    void call(const std::string& caller, const Decision::PlatformAction&, const ReplyCallback&, WatchCallback = {});
    const Item* find(const std::string& key);
    /// Keys that begin with the prefix.
    std::map<std::string, Item> list(const std::string& prefix);
    /// Replaces all keys by those of an earlier state, as when a store is restored from a backup.
    void restore(const std::map<std::string, Item>&);

    StoreFaults faults;
    std::set<std::string> disconnectedHosts; ///< Hosts that can't reach the store.
    /// Called before every put and delete that takes effect, with the new value, or null for a delete.
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
