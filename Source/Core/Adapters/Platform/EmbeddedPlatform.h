#pragma once

/// The platform inside the process, for demos and tests; nothing outlives it.

#include "Ports/PlatformPort.h"

#include <memory>
#include <vector>

namespace Adapters {

/// In-memory platform; callbacks run on its own thread. Registered as "embedded".
class EmbeddedPlatform final : public Ports::PlatformPort {
public:
    static std::unique_ptr<EmbeddedPlatform> create(const Ports::PlatformSettings&);
    ~EmbeddedPlatform() override;

    void start() override;
    void read(const std::string& key, bool prefix, Ports::PlatformCallback) override;
    void transact(Ports::Transaction, Ports::PlatformCallback) override;
    void grantLease(std::chrono::seconds timeToLive, Ports::PlatformCallback) override;
    void renewLease(Ports::LeaseId, Ports::PlatformCallback) override;
    void revokeLease(Ports::LeaseId, Ports::PlatformCallback) override;
    /// Starts with the changes of `fromRevision` itself (inclusive; zero for new ones only).
    void watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback) override;
    void readHostList(Ports::HostListCallback) override;
    void rebootHost(const std::string& name, std::uint64_t incarnation, Ports::PlatformCallback) override;
    /// Runs the calls made so far and ends the thread; watches end silently. Later calls are dropped.
    void stop() override;

    /// Replaces the host list; empty at first.
    void setHosts(std::vector<Ports::ListedHost>);

private:
    class Private;

    EmbeddedPlatform();

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
