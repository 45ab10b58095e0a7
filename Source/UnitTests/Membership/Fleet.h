#pragma once

/// Simulates the hosts of one data centre under a seeded schedule of faults and checks the invariants of membership and duties.

#include "Membership/MemberHost.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Testing {

/// Invariants that a schedule can violate.
enum class Violation {
    TwoIncarnationsInView,
    ReplacedIncarnationRejoined,
    LostViewChange,
    RemovedWhileLeased,
    RemovedWhileAlive,
    LeaseUsedAfterExpiry,
    TwoDutyHolders,
    StaleDutyWrite,
    EpochDecreased,
    NotConverged,
};

class Fleet {
public:
    Fleet(std::uint64_t seed, Decision::MembershipGuards, Decision::DutyGuards = {}, std::size_t size = 4);

    /// Injects random faults for `length`, then ends all faults and lets the hosts converge.
    void runFaults(seconds length);
    /// Checks that the running hosts agree on one view that contains exactly them.
    void checkConverged();
    /// Starts a new process under the name of this index.
    void startHost(std::size_t index);
    void runFor(milliseconds);

    Simulation simulation;
    FakeStore store;
    std::vector<std::shared_ptr<MemberHost>> hosts; ///< The latest process of each host name.
    std::vector<std::shared_ptr<MemberHost>> replacedHosts; ///< Processes that a later one of the same name has replaced.
    std::set<Violation> violations;
    std::optional<Violation> stopAt; ///< The schedule ends once this violation is seen.

private:
    void injectFault();
    bool isStopped() const { return stopAt && violations.count(*stopAt); }
    void injectRestart(std::size_t index);
    void send(const std::string& from, const Decision::PeerSend&);
    void onStoreChange(const std::string& key, const std::string* value);
    void onViewChange(const Decision::View&);
    void check();
    void checkHost(const MemberHost&);
    void writeAsDutyHolders();

    Decision::MembershipGuards m_guards;
    Decision::DutyGuards m_dutyGuards;
    Decision::View m_lastView;
    std::set<std::uint64_t> m_replacedIncarnations;
    std::map<std::uint64_t, std::uint64_t> m_lastEpochs; ///< Last epoch seen, by incarnation.
    std::uint64_t m_lastFence = 0;
};

} // namespace Testing
