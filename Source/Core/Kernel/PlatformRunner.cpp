#include "Kernel/PlatformRunner.h"

#include "Common/Time.h"

#include <utility>

namespace Kernel {

namespace {

    const char* statusName(Ports::PlatformStatus status)
    {
        switch (status) {
        case Ports::PlatformStatus::Ok:
            return "ok";
        case Ports::PlatformStatus::ComparesFailed:
            return "compares-failed";
        case Ports::PlatformStatus::NotSent:
            return "not-sent";
        case Ports::PlatformStatus::Uncertain:
            return "uncertain";
        }
        return "uncertain";
    }

} // namespace

PlatformRunner::PlatformRunner(Ports::PlatformPort& platform, WorkerPool& workers, Metrics& metrics)
    : m_platform(platform)
    , m_workers(workers)
    , m_metrics(metrics)
{
}

Ports::PlatformCallback PlatformRunner::replyTo(Decision::PlatformToken token, const PlatformReplies& replies, const char* kind)
{
    const auto startedAt = Common::BootClock::now();
    return [this, token, kind, startedAt, onReply = replies.onReply](Ports::PlatformReply reply) {
        m_metrics.countPlatformCall(kind, statusName(reply.status), Common::BootClock::now() - startedAt);
        m_workers.post([onReply, event = Decision::PlatformReplied { token, std::move(reply) }] { onReply(event); });
    };
}

void PlatformRunner::run(const Decision::PlatformAction& action, const PlatformReplies& replies)
{
    if (const auto* it = std::get_if<Decision::PlatformRead>(&action))
        m_platform.read(it->key, it->prefix, replyTo(it->token, replies, "read"));
    else if (const auto* it = std::get_if<Decision::PlatformTransact>(&action))
        m_platform.transact(it->transaction, replyTo(it->token, replies, "transact"));
    else if (const auto* it = std::get_if<Decision::LeaseGrant>(&action))
        m_platform.grantLease(it->timeToLive, replyTo(it->token, replies, "lease-grant"));
    else if (const auto* it = std::get_if<Decision::LeaseRenew>(&action))
        m_platform.renewLease(it->lease, replyTo(it->token, replies, "lease-renew"));
    else if (const auto* it = std::get_if<Decision::HostReboot>(&action))
        m_platform.rebootHost(it->host, it->incarnation, replyTo(it->token, replies, "host-reboot"));
    else if (const auto* it = std::get_if<Decision::LeaseRevoke>(&action))
        m_platform.revokeLease(it->lease, replyTo(it->token, replies, "lease-revoke"));
    else if (const auto* it = std::get_if<Decision::PlatformWatch>(&action)) {
        m_platform.watch(it->prefix, it->fromRevision, [this, token = it->token, onWatchEvents = replies.onWatchEvents](const std::vector<Ports::WatchEvent>& events, bool broken) {
            m_workers.post([onWatchEvents, event = Decision::PlatformWatched { token, events, broken }] { onWatchEvents(event); });
        });
    } else if (const auto* it = std::get_if<Decision::HostListRead>(&action)) {
        m_platform.readHostList([this, token = it->token, onHostList = replies.onHostList](Ports::PlatformStatus status, std::vector<Ports::ListedHost> hosts) {
            m_workers.post([onHostList, event = Decision::HostListReplied { token, status, std::move(hosts) }] { onHostList(event); });
        });
    }
}

} // namespace Kernel
