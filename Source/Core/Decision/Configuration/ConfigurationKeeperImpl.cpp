#include "Decision/Configuration/ConfigurationKeeperImpl.h"

#include "Common/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Decision {

ConfigurationKeeper::Impl::Impl(KeeperSettings initialSettings, const ConfigurationValidator& validator, KeeperGuards guards)
    : settings(std::move(initialSettings))
    , m_validator(validator)
    , m_guards(guards)
{
}

void ConfigurationKeeper::Impl::tick(Common::Instant now, const std::vector<Ports::HostId>& aliveMembers)
{
    const auto watchers = Common::rendezvousTop("configuration-watch/" + settings.dataCentre, aliveMembers, 1);
    const bool wasWatcher = std::exchange(isWatcher, !watchers.empty() && watchers.front() == settings.self);
    if (isWatcher && !wasWatcher)
        m_nextHeadRead = now;
    step(now);
}

void ConfigurationKeeper::Impl::step(Common::Instant now)
{
    updateLag(now);
    if (isLagging() && now >= m_nextPeerRequest)
        requestFromPeer(now);
    if (m_call != Call::None || now < m_nextHeadRead || !shouldReadStore(now))
        return;
    m_nextHeadRead = now + (isLagging() ? settings.storeFallback : settings.headRefresh);
    read(Call::ReadHead, headKey);
}

void ConfigurationKeeper::Impl::updateLag(Common::Instant now)
{
    if (!isLagging()) {
        m_lagSince.reset();
        m_wasCurrent = true;
    } else if (!m_lagSince) {
        m_lagSince = now;
    }
}

bool ConfigurationKeeper::Impl::shouldReadStore(Common::Instant now) const
{
    return isWatcher || (m_lagSince && now - *m_lagSince >= settings.storeFallback);
}

void ConfigurationKeeper::Impl::requestFromPeer(Common::Instant now)
{
    const auto hosts = table.hostsAbove(inForce.revision, now, settings.reportRetention);
    if (hosts.empty() || !m_guards.fetchFromPeers)
        return;
    m_nextPeerRequest = now + settings.retryInterval;
    actions.push_back(PeerSend { hosts[m_peerIndex++ % hosts.size()], Messages::ConfigurationRequest { inForce.revision } });
}

void ConfigurationKeeper::Impl::read(Call call, const std::string& key)
{
    m_call = call;
    m_token = m_nextToken++;
    actions.push_back(PlatformRead { m_token, key, false });
}

void ConfigurationKeeper::Impl::onReplied(Common::Instant now, const PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return;
    const Call call = std::exchange(m_call, Call::None);
    if (event.reply.status != Ports::PlatformStatus::Ok)
        m_nextHeadRead = now + settings.retryInterval;
    else if (call == Call::ReadHead)
        onHeadRead(now, event.reply);
    else
        onChunkRead(now, event.reply);
    step(now);
}

void ConfigurationKeeper::Impl::onHeadRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (isWatcher && !m_watch)
        startWatch(reply.revision + 1);
    if (!reply.values.empty()) {
        followHead(now, reply.values.front().value);
        return;
    }
    if (inForce.revision)
        alarm = "the store has no configuration, but revision " + std::to_string(inForce.revision) + " is in force and stays";
}

void ConfigurationKeeper::Impl::startWatch(std::int64_t fromRevision)
{
    m_watch = m_nextToken++;
    actions.push_back(PlatformWatch { *m_watch, headKey, fromRevision });
}

void ConfigurationKeeper::Impl::onWatched(Common::Instant now, const PlatformWatched& event)
{
    if (m_watch != event.token)
        return;
    if (event.broken) {
        m_watch.reset();
        m_nextHeadRead = now + settings.retryInterval;
    } else if (isWatcher && !event.events.empty()) {
        const auto& last = event.events.back();
        if (m_call == Call::None && !last.deleted)
            followHead(now, last.pair.value);
        else
            m_nextHeadRead = now;
    }
    step(now);
}

void ConfigurationKeeper::Impl::followHead(Common::Instant now, const std::string& text)
{
    const auto head = decodeHead(text);
    if (!head) {
        alarm = "the configuration head in the store can't be decoded; the configuration in force stays";
        return;
    }
    if (!shouldFetch(*head))
        return;
    m_fetching = *head;
    m_fetchedChunks.clear();
    fetchNext(now);
}

bool ConfigurationKeeper::Impl::shouldFetch(const HeadRecord& head)
{
    if (head.revision == inForce.revision && head.changeId == inForce.changeId) {
        alarm.clear();
        return false;
    }
    if (head.revision > inForce.revision)
        return true;
    alarm = "the store has revision " + std::to_string(head.revision) + " (" + head.changeId + "), but revision "
        + std::to_string(inForce.revision) + " (" + inForce.changeId + ") is in force and stays";
    return !m_guards.requireHigherRevision;
}

void ConfigurationKeeper::Impl::fetchNext(Common::Instant now)
{
    if (m_fetchedChunks.size() < m_fetching.chunks.size()) {
        read(Call::ReadChunk, chunkKey(m_fetching.chunks[m_fetchedChunks.size()]));
        return;
    }
    onFetched(now);
}

void ConfigurationKeeper::Impl::onChunkRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    const auto& wanted = m_fetching.chunks[m_fetchedChunks.size()];
    // A chunk is deleted once its document is two revisions old, so the head is read again.
    if (reply.values.empty() || contentHash(reply.values.front().value) != wanted) {
        m_nextHeadRead = now + settings.retryInterval;
        return;
    }
    m_fetchedChunks.push_back(reply.values.front().value);
    fetchNext(now);
}

void ConfigurationKeeper::Impl::onFetched(Common::Instant now)
{
    std::string merged;
    for (const auto& part : m_fetchedChunks)
        merged += part;
    m_fetchedChunks.clear();
    if (!adopt(now, m_fetching.revision, m_fetching.changeId, std::make_shared<const std::string>(std::move(merged))))
        return;
    alarm.clear();
}

bool ConfigurationKeeper::Impl::adopt(Common::Instant now, std::uint64_t revision, const std::string& changeId, Ports::Bytes bytes)
{
    if (m_guards.requireHigherRevision && revision <= inForce.revision)
        return false;
    const auto faults = m_validator.faults(*bytes);
    if (!faults.empty()) {
        alarm = "revision " + std::to_string(revision) + " is invalid and not adopted: " + faults.front();
        return false;
    }
    inForce = { changeId, revision, contentHash(*bytes) };
    document = std::move(bytes);
    adopted.push_back({ revision, changeId, document });
    updateLag(now);
    return true;
}

void ConfigurationKeeper::Impl::onHeartbeat(Common::Instant now, const HeartbeatReceived& event)
{
    table.onHeartbeat(now, event);
    step(now);
}

void ConfigurationKeeper::Impl::onRequested(const ConfigurationRequested& event)
{
    if (inForce.revision > event.request.knownRevision)
        actions.push_back(PeerSend { event.from, Messages::ConfigurationOffer { inForce.revision, inForce.changeId, document } });
}

void ConfigurationKeeper::Impl::onOffered(Common::Instant now, const ConfigurationOffered& event)
{
    const auto& offer = event.offer;
    if (m_guards.fetchFromPeers && offer.document && offer.revision > inForce.revision)
        adopt(now, offer.revision, offer.changeId, offer.document);
}

bool ConfigurationKeeper::Impl::isReady(Common::Instant now) const
{
    if (!inForce.revision)
        return false;
    if (!isLagging() || !m_guards.readyOnlyWhenCurrent)
        return true;
    // All hosts lag for a moment after every accepted change; they mustn't become unready, and leave the load balancer, all at once.
    return m_wasCurrent && m_lagSince && now - *m_lagSince < settings.staleGrace;
}

std::vector<DataCentreInForce> ConfigurationKeeper::Impl::report(Common::Instant now) const
{
    InForceTable merged = table;
    Messages::Heartbeat own;
    own.dataCentre = settings.dataCentre;
    own.configurationRevision = inForce.revision;
    own.ready = isReady(now);
    merged.onHeartbeat(now, { settings.self, own });
    return merged.report(now, settings.reportRetention);
}

std::optional<Common::Instant> ConfigurationKeeper::Impl::nextDeadline() const
{
    std::optional<Common::Instant> first;
    const auto add = [&](Common::Instant candidate) { first = first ? std::min(*first, candidate) : candidate; };
    if (m_call == Call::None && isWatcher)
        add(m_nextHeadRead);
    if (m_call == Call::None && m_lagSince)
        add(std::max(m_nextHeadRead, *m_lagSince + settings.storeFallback));
    if (isLagging() && table.highest() > inForce.revision)
        add(m_nextPeerRequest);
    return first;
}

} // namespace Decision
