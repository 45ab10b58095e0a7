#include "Adapters/Platform/EmbeddedPlatform.h"

#include "Adapters/Platform/EventLoop.h"
#include "Adapters/Platform/KeyValueStore.h"

#include <algorithm>
#include <utility>

namespace Adapters {

using Common::BootClock;
using Ports::PlatformCallback;

namespace {

    const Ports::PlatformPortRegistration registration("embedded",
        [](const Ports::PlatformSettings& settings) { return EmbeddedPlatform::create(settings); });

} // namespace

class EmbeddedPlatform::Private {
public:
    Private()
        : m_loop(EventLoop::create())
    {
    }

    /// Runs a store call on the loop, passes its reply to the callback, and restarts the timer for the next lease expiry.
    template<typename Call>
    void run(PlatformCallback callback, Call call)
    {
        m_loop->post([this, callback = std::move(callback), call = std::move(call)]() mutable {
            Ports::PlatformReply reply = call(m_store, BootClock::now());
            callback(std::move(reply));
            armExpiry();
        });
    }

    std::unique_ptr<EventLoop> m_loop;
    KeyValueStore m_store;
    std::vector<Ports::ListedHost> m_hosts;

private:
    void armExpiry()
    {
        m_loop->cancel(m_expiryTimer);
        const auto next = m_store.nextExpiry();
        if (!next)
            return;
        const auto delay = std::chrono::ceil<std::chrono::milliseconds>(*next - BootClock::now());
        m_expiryTimer = m_loop->after(std::max(delay, std::chrono::milliseconds(0)), [this] {
            m_store.expireLeases(BootClock::now());
            armExpiry();
        });
    }

    EventLoop::TimerId m_expiryTimer = 0;
};

EmbeddedPlatform::EmbeddedPlatform()
    : m_private(std::make_unique<Private>())
{
}

EmbeddedPlatform::~EmbeddedPlatform()
{
    stop();
}

std::unique_ptr<EmbeddedPlatform> EmbeddedPlatform::create(const Ports::PlatformSettings&)
{
    return std::unique_ptr<EmbeddedPlatform>(new EmbeddedPlatform);
}

void EmbeddedPlatform::start()
{
    m_private->m_loop->start();
}

void EmbeddedPlatform::stop()
{
    m_private->m_loop->stop();
}

void EmbeddedPlatform::read(const std::string& key, bool prefix, PlatformCallback callback)
{
    m_private->run(std::move(callback), [key, prefix](auto& store, auto now) { return store.read(key, prefix, now); });
}

void EmbeddedPlatform::transact(Ports::Transaction transaction, PlatformCallback callback)
{
    m_private->run(std::move(callback),
        [transaction = std::move(transaction)](auto& store, auto now) { return store.transact(transaction, now); });
}

void EmbeddedPlatform::grantLease(std::chrono::seconds timeToLive, PlatformCallback callback)
{
    m_private->run(std::move(callback), [timeToLive](auto& store, auto now) { return store.grantLease(timeToLive, now); });
}

void EmbeddedPlatform::renewLease(Ports::LeaseId id, PlatformCallback callback)
{
    m_private->run(std::move(callback), [id](auto& store, auto now) { return store.renewLease(id, now); });
}

void EmbeddedPlatform::revokeLease(Ports::LeaseId id, PlatformCallback callback)
{
    m_private->run(std::move(callback), [id](auto& store, auto now) { return store.revokeLease(id, now); });
}

void EmbeddedPlatform::watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback callback)
{
    m_private->m_loop->post([this, prefix, fromRevision, callback = std::move(callback)] {
        const auto id = m_private->m_store.watch(prefix, fromRevision, [callback](const auto& events) { callback(events, false); });
        if (!id)
            callback({}, true);
    });
}

void EmbeddedPlatform::readHostList(Ports::HostListCallback callback)
{
    m_private->m_loop->post([this, callback = std::move(callback)] { callback(Ports::PlatformStatus::Ok, m_private->m_hosts); });
}

void EmbeddedPlatform::rebootHost(const std::string& name, std::uint64_t incarnation, PlatformCallback callback)
{
    m_private->m_loop->post([this, name, incarnation, callback = std::move(callback)] {
        Ports::PlatformReply reply;
        reply.status = Ports::PlatformStatus::ComparesFailed;
        for (auto& host : m_private->m_hosts) {
            if (host.name != name || host.incarnation != incarnation)
                continue;
            ++host.incarnation;
            reply.status = Ports::PlatformStatus::Ok;
        }
        callback(std::move(reply));
    });
}

void EmbeddedPlatform::setHosts(std::vector<Ports::ListedHost> hosts)
{
    m_private->m_loop->post([this, hosts = std::move(hosts)]() mutable { m_private->m_hosts = std::move(hosts); });
}

} // namespace Adapters
