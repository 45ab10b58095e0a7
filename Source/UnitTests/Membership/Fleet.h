#pragma once

/// Hosts of one data centre under a seeded schedule of failures, and what must hold for them all the time.

#include "Membership/MemberHost.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Testing {

/// Harm that was seen.
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

    /// Random faults for the length, then everything heals.
    void runFaults(seconds length);
    /// Checks that the running hosts agree on one view of exactly themselves.
    void checkConverged();
    void startHost(std::size_t index);
    void runFor(milliseconds);

    Simulation simulation;
    FakeStore store;
    std::vector<std::shared_ptr<MemberHost>> hosts; ///< The latest process of each name.
    std::vector<std::shared_ptr<MemberHost>> replacedHosts; ///< Processes that were replaced.
    std::set<Violation> violations;
    std::optional<Violation> stopAt; ///< The schedule ends once this is seen.

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
