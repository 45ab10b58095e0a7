#pragma once

/// The configuration in force on a host. One host per data centre watches the store; the others fetch from peers.

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

/// Identity of this host, and its intervals and timeouts.
struct KeeperSettings {
    Ports::HostId self;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds retryInterval { 500 }; ///< Between attempts to fetch a known higher revision, and after a read that failed.
    std::chrono::milliseconds storeFallback { 2000 }; ///< A host that lags for this long also reads the store itself.
    std::chrono::milliseconds headRefresh { 15000 }; ///< Between reads of the head by the watching host, in case its watch hangs unnoticed.
    std::chrono::milliseconds staleGrace { 2000 }; ///< How long a ready host may lag and stay ready; zero for not at all.
    std::chrono::milliseconds reportRetention { 30000 }; ///< Older heartbeats don't count for reports, nor for fetching.
};

/// Safeguards, all on in production. Tests turn one off to show what it prevents.
struct KeeperGuards {
    bool requireHigherRevision = true; ///< Adopt only higher revisions, from the store and from peers.
    bool readyOnlyWhenCurrent = true; ///< Not ready while a peer has shown a higher revision.
    bool fetchFromPeers = true; ///< Fetch configurations from peers.
};

/// A configuration that has come into force on this host; the kernel applies it.
struct ConfigurationAdopted {
    std::uint64_t revision = 0;
    std::string changeId;
    Ports::Bytes document;
};

/// The revision in force on a host.
struct HostInForce {
    Ports::HostId host;
    std::uint64_t revision = 0;
    bool ready = false;
};

/// Hosts of a data centre with a recent heartbeat, sorted by name.
struct DataCentreInForce {
    std::string dataCentre;
    std::vector<HostInForce> hosts;
};

/// Event: a peer requests this host's configuration.
struct ConfigurationRequested {
    Ports::HostId from;
    Messages::ConfigurationRequest request;
};

/// Event: a peer has sent its configuration.
struct ConfigurationOffered {
    Ports::HostId from;
    Messages::ConfigurationOffer offer;
};

/// Keeps the configuration in force; its revision only increases. The caller runs the actions and passes events in. No I/O; not
/// thread-safe.
class ConfigurationKeeper {
public:
    /// The validator must outlive the keeper. Fails when the host name or the data centre is empty.
    static Common::Result<std::unique_ptr<ConfigurationKeeper>, DecisionError> create(
        KeeperSettings, const ConfigurationValidator&, KeeperGuards = {});
    ~ConfigurationKeeper();

    /// Starts the reads and requests that are due. `aliveMembers` of the own data centre determine which of them watches the store.
    void tick(Common::Instant now, const std::vector<Ports::HostId>& aliveMembers);
    /// Events; each may bring nextDeadline() forward, add actions and adopt a configuration.
    void handle(Common::Instant now, const PlatformReplied&);
    void handle(Common::Instant now, const PlatformWatched&);
    void handle(Common::Instant now, const HeartbeatReceived&);
    void handle(Common::Instant now, const ConfigurationRequested&);
    void handle(Common::Instant now, const ConfigurationOffered&);

    /// When tick() is due at the latest; nothing when only an event can bring progress.
    std::optional<Common::Instant> nextDeadline() const;
    /// Store calls and messages to peers since the last takeActions().
    std::vector<Action> takeActions();
    /// Configurations adopted since the last takeAdopted(), oldest first.
    std::vector<ConfigurationAdopted> takeAdopted();

    /// The revision in force; zero while there is none.
    std::uint64_t revision() const;
    /// The change in force, for ConfigurationPublisher::setInForce().
    AcceptedChange inForce() const;
    /// The document in force; null while there is none.
    Ports::Bytes document() const;
    /// Highest revision that is in force here or that any peer's heartbeat has shown.
    std::uint64_t highestKnown() const;
    /// True while a configuration is in force and no higher revision is known, or for staleGrace after one became known.
    bool isReady(Common::Instant now) const;
    /// True while this host watches the store for its data centre.
    bool isWatcher() const;
    /// Why the configuration in the store isn't adopted; empty when it is.
    const std::string& alarm() const;
    /// Revisions in force, by data centre; only of this host and of those whose heartbeats it receives.
    std::vector<DataCentreInForce> inForceReport(Common::Instant now) const;

private:
    class Impl;
    explicit ConfigurationKeeper(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Decision
