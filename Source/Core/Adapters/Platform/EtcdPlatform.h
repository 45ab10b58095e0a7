#pragma once

/// Platform port over HTTP: etcd's v3 JSON mapping for the key-value service, a JSON document for the host list.

#include "Ports/PlatformPort.h"

#include <memory>

namespace Adapters {

/// Safeguards of the etcd adapter. Tests disable one to reproduce the fault that it prevents.
struct EtcdGuards {
    /// Sends transactions and lease grants on new connections only. On a reused one, libcurl might send a transaction twice,
    /// and the failed compares of the second would hide that the first took effect.
    bool freshConnectionForWrites = true;
};

/// Client of the platform. Callbacks run on a thread of its own. Registered as "etcd".
///
/// Status of calls: NotSent if no byte was sent, for a refusal (4xx), and for any failure of a read. Uncertain for a write whose
/// answer is lost, late, unreadable or 5xx, and for one that fails when only a part of its request was sent. ComparesFailed
/// also for a put on an expired lease.
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
    /// Starts with the changes of `fromRevision` itself; zero for new changes only. Breaks if the store doesn't confirm the
    /// watch within the call timeout.
    void watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback) override;
    /// Ok with the complete list, else NotSent with an empty one.
    void readHostList(Ports::HostListCallback) override;
    void rebootHost(const std::string& name, std::uint64_t incarnation, Ports::PlatformCallback) override;
    /// Ends running calls (writes with Uncertain, watches without a callback) and joins the thread. Later calls are dropped.
    void stop() override;

private:
    class Private;

    EtcdPlatform(const Ports::PlatformSettings&, EtcdGuards);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
