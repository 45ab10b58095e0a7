#pragma once

/// Hosts of two data centres with keepers and publishers, two operators, and a truth of what the store ever accepted.

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

/// Takes every document but those that begin with "bad".
class FakeValidator : public Decision::ConfigurationValidator {
public:
    std::vector<std::string> faults(const std::string& document) const override;
};

struct ConfigurationGuards {
    Decision::KeeperGuards keeper;
    Decision::PublisherGuards publisher;
};

/// Harm that was seen.
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
    /// Random faults with two operators publishing, then everything heals.
    void runFaults(seconds length);
    void restart(std::size_t index);
    /// Publishes through a host; the results are in `results` by change id.
    void publish(std::size_t host, const std::string& changeId, std::uint64_t base, const std::string& document);
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
        std::string changeId; ///< Empty when none is under way.
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
