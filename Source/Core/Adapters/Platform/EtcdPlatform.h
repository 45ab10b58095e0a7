#pragma once

/// The platform over HTTP: etcd v3 JSON mapping for the key-value service, a JSON document for the host list.

#include "Ports/PlatformPort.h"

#include <memory>

namespace Adapters {

/// Safeguards of the adapter; switched off by tests only.
struct EtcdGuards {
    /// A transaction never travels on a re-used connection, on which libcurl might send it twice: the second one's
    /// failed compares would hide that the first took effect.
    bool freshConnectionForWrites = true;
};

/// Client of the platform; callbacks run on its own thread. Registered as "etcd".
///
/// Status of calls: no byte sent, a refusal (4xx) or any failure of a read gives NotSent; a write whose answer is lost, late,
/// unreadable or 5xx gives Uncertain; a put on a lapsed lease gives ComparesFailed. A write that fails while its request
/// is partly sent is Uncertain too.
class EtcdPlatform final : public Ports::PlatformPort {
public:
    static std::unique_ptr<EtcdPlatform> create(const Ports::PlatformSettings&, EtcdGuards = {});
    ~EtcdPlatform() override;

    void start() override;
    void read(const std::string& key, bool prefix, Ports::PlatformCallback) override;
    void transact(Ports::Transaction, Ports::PlatformCallback) override;
    void grantLease(std::chrono::seconds timeToLive, Ports::PlatformCallback) override;
    void renewLease(Ports::LeaseId, Ports::PlatformCallback) override;
    void revokeLease(Ports::LeaseId, Ports::PlatformCallback) override;
    /// Starts with the changes of `fromRevision` itself (inclusive; zero for new ones only). Breaks when the store
    /// doesn't confirm the watch within the call timeout.
    void watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback) override;
    void readHostList(Ports::HostListCallback) override;
    void rebootHost(const std::string& name, std::uint64_t incarnation, Ports::PlatformCallback) override;
    /// Ends the calls under way (writes as Uncertain, watches silently) and the thread. Later calls are dropped.
    void stop() override;

private:
    class Private;

    EtcdPlatform(const Ports::PlatformSettings&, EtcdGuards);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
