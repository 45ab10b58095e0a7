#pragma once

/// The configuration in force on a host: learnt from the store by one host per data centre and from peers by the others.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Configuration/ConfigurationValidator.h"
#include "Decision/Configuration/HeadRecord.h"
#include "Decision/Membership/Actions.h"
#include "Decision/Membership/DecisionError.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Who this host is and how it keeps time.
struct KeeperSettings {
    Ports::HostId self;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds retryInterval { 500 }; ///< Between tries to get a known higher revision.
    std::chrono::milliseconds storeFallback { 2000 }; ///< After which peers that don't deliver are passed over for the store.
    std::chrono::milliseconds headRefresh { 15000 }; ///< Of the watching host, should a watch hang silently.
    std::chrono::milliseconds staleGrace { 2000 }; ///< A ready host may lag for so long before it isn't ready; zero for none.
    std::chrono::milliseconds reportRetention { 30000 }; ///< Age at which a silent host leaves the report.
};

/// Safeguards; a test turns one off to show that its absence does harm.
struct KeeperGuards {
    bool requireHigherRevision = true; ///< Take only higher revisions, from the store and from peers.
    bool readyOnlyWhenCurrent = true; ///< Not ready while a peer has shown a higher revision.
    bool fetchFromPeers = true; ///< Learn from peers.
};

/// A configuration that came into force; the kernel applies it.
struct ConfigurationAdopted {
    std::uint64_t revision = 0;
    std::string changeId;
    Ports::Bytes document;
};

/// A host and what it has in force.
struct HostInForce {
    Ports::HostId host;
    std::uint64_t revision = 0;
    bool ready = false;
};

/// Hosts heard from in a data centre, by name.
struct DataCentreInForce {
    std::string dataCentre;
    std::vector<HostInForce> hosts;
};

/// Event: a peer asks for our configuration.
struct ConfigurationRequested {
    Ports::HostId from;
    Messages::ConfigurationRequest request;
};

/// Event: a peer offers its configuration.
struct ConfigurationOffered {
    Ports::HostId from;
    Messages::ConfigurationOffer offer;
};

/// Keeps the configuration in force; its revision only goes up. No I/O; not thread-safe.
class ConfigurationKeeper {
public:
    /// The validator must outlive the keeper.
    static Common::Result<std::unique_ptr<ConfigurationKeeper>, DecisionError> create(
        KeeperSettings, const ConfigurationValidator&, KeeperGuards = {});
    ~ConfigurationKeeper();

    /// `aliveMembers` decides which host of the data centre watches the store.
    void tick(Common::Instant now, const std::vector<Ports::HostId>& aliveMembers);
    void handle(Common::Instant now, const PlatformReplied&);
    void handle(Common::Instant now, const PlatformWatched&);
    void handle(Common::Instant now, const HeartbeatReceived&);
    void handle(Common::Instant now, const ConfigurationRequested&);
    void handle(Common::Instant now, const ConfigurationOffered&);

    std::optional<Common::Instant> nextDeadline() const;
    std::vector<Action> takeActions();
    std::vector<ConfigurationAdopted> takeAdopted();

    /// Zero while there is none.
    std::uint64_t revision() const;
    /// For ConfigurationPublisher::setInForce().
    AcceptedChange inForce() const;
    /// The document in force; null while there is none.
    Ports::Bytes document() const;
    /// Highest revision that this host has or any peer has shown.
    std::uint64_t highestKnown() const;
    bool isReady(Common::Instant now) const;
    bool isWatcher() const;
    /// Why the store isn't followed; empty when all is well.
    const std::string& alarm() const;
    /// By data centre; only of hosts that this one hears, itself included.
    std::vector<DataCentreInForce> inForceReport(Common::Instant now) const;

private:
    class Impl;
    explicit ConfigurationKeeper(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Decision
