#pragma once

/// Platform port inside the process, for demos and tests. Its state is lost when the process ends.

#include "Ports/PlatformPort.h"

#include <memory>
#include <vector>

namespace Adapters {

/// In-memory key-value store and host list. Callbacks run on a thread of its own. Registered as "embedded".
class EmbeddedPlatform final : public Ports::PlatformPort {
public:
    /// The settings are ignored.
    static std::unique_ptr<EmbeddedPlatform> create(const Ports::PlatformSettings&);
    ~EmbeddedPlatform() override;

    void start() override;
    void read(const std::string& key, bool prefix, Ports::PlatformCallback) override;
    void transact(Ports::Transaction, Ports::PlatformCallback) override;
    void grantLease(std::chrono::seconds timeToLive, Ports::PlatformCallback) override;
    void renewLease(Ports::LeaseId, Ports::PlatformCallback) override;
    void revokeLease(Ports::LeaseId, Ports::PlatformCallback) override;
    /// Starts with the changes of `fromRevision` itself; zero for new changes only. Breaks at once if that revision is no longer in
    /// the history.
    void watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback) override;
    void readHostList(Ports::HostListCallback) override;
    void rebootHost(const std::string& name, std::uint64_t incarnation, Ports::PlatformCallback) override;
    /// Runs the calls made so far and joins the thread; watches end without a callback. Later calls are dropped.
    void stop() override;

    /// Replaces the host list, which is empty initially.
    void setHosts(std::vector<Ports::ListedHost>);

private:
    class Private;

    EmbeddedPlatform();

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
