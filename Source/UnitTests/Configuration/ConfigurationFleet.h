#pragma once

/// Simulates hosts of two data centres with keepers and publishers, and two operators, under a seeded schedule of faults. Checks
/// their results against the changes that the store accepted.

#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Decision/Configuration/ConfigurationPublisher.h"
#include "Membership/FakeStore.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Testing {

/// Accepts every document but those that begin with "bad".
class FakeValidator : public Decision::ConfigurationValidator {
public:
    std::vector<std::string> faults(const std::string& document) const override;
};

struct ConfigurationGuards {
    Decision::KeeperGuards keeper;
    Decision::PublisherGuards publisher;
};

/// Invariants that a schedule can violate.
enum class ConfigurationViolation {
    RevisionDecreased,
    TwoChangesAtOneRevision,
    ConflictForAcceptedChange,
    AcceptedIsNotInStore,
    NotInForceEverywhere,
};

class ConfigurationFleet {
public:
    struct Host {
        std::string name;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Decision::ConfigurationKeeper> keeper;
        std::unique_ptr<Decision::ConfigurationPublisher> publisher;
        std::uint64_t lastRevision = 0;
        bool running = true;
    };

    ConfigurationFleet(std::uint64_t seed, ConfigurationGuards = {});

    void runFor(milliseconds);
    /// Injects random faults while two operators publish, then ends all faults and checks that every host has the stored revision.
    void runFaults(seconds length);
    /// Replaces a host by a new process of the same name.
    void restart(std::size_t index);
    /// Publishes through a host; the results are in `results` by change id.
    void publish(std::size_t host, const std::string& changeId, std::uint64_t base, const std::string& document);
    /// True when every host has this revision in force.
    bool allAt(std::uint64_t revision) const;

    Simulation simulation;
    FakeStore store;
    std::vector<std::shared_ptr<Host>> hosts;
    std::set<ConfigurationViolation> violations;
    std::map<std::string, Decision::PublishResult> results;
    std::size_t acceptedCount = 0;
    std::size_t conflictCount = 0;

private:
    struct Operator {
        std::string changeId; ///< Empty when no change is being published.
        std::uint64_t base = 0;
        bool asked = false;
    };

    void injectFault();
    void runOperator(std::size_t index);
    void pump(const std::shared_ptr<Host>&);
    void run(const std::shared_ptr<Host>&, const Decision::PlatformAction&, bool forKeeper);
    void deliver(const std::string& from, const Decision::PeerSend&);
    void sendHeartbeats();
    void onResult(const Decision::PublishResult&);
    void check();

    FakeValidator m_validator;
    ConfigurationGuards m_guards;
    std::vector<Operator> m_operators { 2 };
    std::map<std::string, std::uint64_t> m_acceptedRevisions; ///< Revision of every change that the store ever accepted.
    std::map<std::uint64_t, std::string> m_changeByRevision;
    std::uint64_t m_nextChange = 1;
    Common::Instant m_nextHeartbeat {};
};

} // namespace Testing
