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
enum class Harm {
    TwoIncarnationsInView,
    ReplacedHostCameBack,
    LostViewChange,
    RemovedWhileLeased,
    RemovedWhileHeard,
    LeaseTrustedTooLong,
    TwoDutyHolders,
    StaleDutyWrite,
    ViewWentBack,
    NotHealed,
};

class Fleet {
public:
    Fleet(std::uint64_t seed, Decision::MembershipGuards, Decision::DutyGuards = {}, std::size_t size = 4);

    /// Random faults for the length, then everything heals.
    void runFaults(seconds length);
    /// Checks that the running hosts agree on one view of exactly themselves.
    void checkHealed();
    void startHost(std::size_t index);
    void runFor(milliseconds);

    Simulation simulation;
    FakeStore store;
    std::vector<std::shared_ptr<MemberHost>> hosts; ///< The latest process of each name.
    std::vector<std::shared_ptr<MemberHost>> older; ///< Processes that were replaced.
    std::set<Harm> harms;
    std::optional<Harm> stopAt; ///< The schedule ends once this is seen.

private:
    void fault();
    bool isStopped() const { return stopAt && harms.count(*stopAt); }
    void restartFault(std::size_t index);
    void send(const std::string& from, const Decision::PeerSend&);
    void storeChanged(const std::string& key, const std::string* value);
    void viewChanged(const Decision::View&);
    void check();
    void checkHost(const MemberHost&);
    void work();

    Decision::MembershipGuards m_guards;
    Decision::DutyGuards m_dutyGuards;
    Decision::View m_last;
    std::set<std::uint64_t> m_replaced;
    std::map<std::uint64_t, std::uint64_t> m_epochs; ///< Last epoch seen, by incarnation.
    std::uint64_t m_lastFence = 0;
};

} // namespace Testing
