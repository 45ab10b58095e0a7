#include "Decision/Configuration/ConfigurationPublisher.h"

#include <algorithm>
#include <utility>

namespace Decision {

Common::Result<std::unique_ptr<ConfigurationPublisher>, DecisionError> ConfigurationPublisher::create(
    PublisherSettings settings, const ConfigurationValidator& validator, PublisherGuards guards)
{
    if (settings.timeout <= settings.retryInterval)
        return DecisionError("the timeout of a publication must be longer than its retry interval");
    return std::unique_ptr<ConfigurationPublisher>(new ConfigurationPublisher(settings, validator, guards));
}

ConfigurationPublisher::ConfigurationPublisher(PublisherSettings settings, const ConfigurationValidator& validator, PublisherGuards guards)
    : m_settings(settings)
    , m_validator(validator)
    , m_guards(guards)
{
}

void ConfigurationPublisher::publish(Common::Instant now, PublishRequest request)
{
    m_queue.push_back(std::move(request));
    tick(now);
}

void ConfigurationPublisher::tick(Common::Instant now)
{
    while (!m_isPublishing && !m_queue.empty())
        begin(now);
    if (!m_isPublishing || m_call != Call::None || !m_retryAt || now < *m_retryAt)
        return;
    m_retryAt.reset();
    readHead();
}

void ConfigurationPublisher::begin(Common::Instant now)
{
    const auto& request = m_queue.front();
    m_isPublishing = true;
    m_mayHaveWrittenHead = false;
    m_chunksWritten = 0;
    m_deadline = now + m_settings.timeout;
    PublishResult result;
    if (request.changeId.empty())
        result.faults.push_back("a change id is required");
    if (request.document.empty() || request.document.size() > m_settings.maximumDocumentBytes)
        result.faults.push_back("the document must have 1 to " + std::to_string(m_settings.maximumDocumentBytes) + " bytes");
    if (result.faults.empty())
        result.faults = m_validator.faults(request.document);
    if (!result.faults.empty()) {
        m_results.push_back(std::move(result));
        m_results.back().ticket = request.ticket;
        m_results.back().changeId = request.changeId;
        m_results.back().status = PublishStatus::Invalid;
        m_queue.pop_front();
        m_isPublishing = false;
        return;
    }
    m_chunks = splitDocument(request.document);
    m_documentHash = contentHash(request.document);
    readHead();
}

void ConfigurationPublisher::readHead()
{
    m_call = Call::ReadHead;
    m_token = m_nextToken++;
    m_actions.push_back(PlatformRead { m_token, headKey, false });
}

void ConfigurationPublisher::handle(Common::Instant now, const PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return;
    switch (std::exchange(m_call, Call::None)) {
    case Call::ReadHead:
        onHeadRead(now, event.reply);
        break;
    case Call::WriteChunk:
        onChunkWritten(now, event.reply);
        break;
    case Call::WriteHead:
        onHeadWritten(now, event.reply);
        break;
    case Call::None:
        break;
    }
    tick(now);
}

void ConfigurationPublisher::onHeadRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (reply.status != Ports::PlatformStatus::Ok) {
        retryLater(now);
        return;
    }
    m_head = {};
    m_headRevision = 0;
    if (!reply.values.empty()) {
        const auto head = decodeHead(reply.values.front().value);
        if (!head) {
            retryLater(now);
            return;
        }
        m_head = *head;
        m_headRevision = reply.values.front().modRevision;
    }
    if (settle())
        return;
    // All chunks are written again after each read of the head: another publication may have deleted some in the meantime.
    m_chunksWritten = 0;
    writeNextChunk();
}

/// Finishes the publication if the head or the change in force already determines its result; false otherwise.
bool ConfigurationPublisher::settle()
{
    const auto& request = m_queue.front();
    const auto* known = m_guards.settleByReading ? m_head.findChange(request.changeId) : nullptr;
    if (!known && m_guards.settleByReading && m_inForce.changeId == request.changeId)
        known = &m_inForce;
    if (known && known->documentHash == m_documentHash) {
        finish(PublishStatus::Accepted, known->revision);
        return true;
    }
    if (known) {
        finish(PublishStatus::Invalid);
        m_results.back().faults = { "the change id was used with another document" };
        return true;
    }
    if (currentRevision() == request.baseRevision || !m_guards.compareHead)
        return false;
    finish(isTakenByOther(request.baseRevision + 1) || !m_guards.settleByReading ? PublishStatus::Conflict : PublishStatus::Unsettled);
    return true;
}

/// True when a known change has this revision. Only then is it certain that the requested change never had it.
bool ConfigurationPublisher::isTakenByOther(std::uint64_t revision) const
{
    if (m_inForce.revision == revision)
        return true;
    return std::any_of(m_head.recent.begin(), m_head.recent.end(), [&](const AcceptedChange& change) { return change.revision == revision; });
}

std::uint64_t ConfigurationPublisher::currentRevision() const
{
    return std::max(m_head.revision, m_inForce.revision);
}

void ConfigurationPublisher::writeNextChunk()
{
    if (m_chunksWritten == m_chunks.size()) {
        // The revision in force here may have increased since the head was read.
        if (!settle())
            writeHead();
        return;
    }
    const Chunk& chunk = m_chunks[m_chunksWritten];
    const auto key = chunkKey(chunk.hash);
    transact(Call::WriteChunk, { { { key, 0 } }, { { key, chunk.content, 0 } }, {} });
}

void ConfigurationPublisher::onChunkWritten(Common::Instant now, const Ports::PlatformReply& reply)
{
    // A chunk that exists already has the same content, because its key is its hash.
    if (reply.status != Ports::PlatformStatus::Ok && reply.status != Ports::PlatformStatus::ComparesFailed) {
        retryLater(now);
        return;
    }
    ++m_chunksWritten;
    writeNextChunk();
}

HeadRecord ConfigurationPublisher::nextHead() const
{
    const auto& request = m_queue.front();
    HeadRecord head;
    head.revision = currentRevision() + 1;
    head.changeId = request.changeId;
    head.author = request.author;
    head.reason = request.reason;
    for (const auto& chunk : m_chunks)
        head.chunks.push_back(chunk.hash);
    head.olderChunks = m_head.chunks;
    head.recent = m_head.recent;
    if (m_inForce.revision > m_head.revision)
        head.recent.push_back(m_inForce);
    head.recent.push_back({ request.changeId, head.revision, m_documentHash });
    if (head.recent.size() > maximumRecentChanges)
        head.recent.erase(head.recent.begin(), head.recent.end() - maximumRecentChanges);
    return head;
}

void ConfigurationPublisher::writeHead()
{
    const HeadRecord head = nextHead();
    m_writtenRevision = head.revision;
    Ports::Transaction transaction;
    if (m_guards.compareHead)
        transaction.compares.push_back({ headKey, m_headRevision });
    transaction.puts.push_back({ headKey, encodeHead(head), 0 });
    for (const auto& hash : m_head.olderChunks) {
        const auto isUsed = [&](const std::vector<std::string>& used) { return std::find(used.begin(), used.end(), hash) != used.end(); };
        if (!isUsed(head.chunks) && !isUsed(head.olderChunks))
            transaction.deletes.push_back(chunkKey(hash));
    }
    transact(Call::WriteHead, std::move(transaction));
}

void ConfigurationPublisher::onHeadWritten(Common::Instant now, const Ports::PlatformReply& reply)
{
    switch (reply.status) {
    case Ports::PlatformStatus::Ok:
        finish(PublishStatus::Accepted, m_writtenRevision);
        return;
    case Ports::PlatformStatus::ComparesFailed:
        readHead();
        return;
    case Ports::PlatformStatus::NotSent:
        break;
    case Ports::PlatformStatus::Uncertain:
        m_mayHaveWrittenHead = true;
        break;
    }
    retryLater(now);
}

void ConfigurationPublisher::retryLater(Common::Instant now)
{
    if (now < m_deadline) {
        m_retryAt = now + m_settings.retryInterval;
        return;
    }
    finish(m_mayHaveWrittenHead ? PublishStatus::Unsettled : PublishStatus::Unavailable);
}

void ConfigurationPublisher::finish(PublishStatus status, std::uint64_t revision)
{
    const auto& request = m_queue.front();
    PublishResult result;
    result.ticket = request.ticket;
    result.changeId = request.changeId;
    result.status = status;
    result.revision = revision;
    if (status == PublishStatus::Conflict || status == PublishStatus::Unsettled) {
        const bool isStoreOlder = m_head.revision < m_inForce.revision;
        result.currentRevision = currentRevision();
        result.currentChangeId = isStoreOlder ? m_inForce.changeId : m_head.changeId;
        result.currentAuthor = isStoreOlder ? "" : m_head.author;
    }
    m_results.push_back(std::move(result));
    m_queue.pop_front();
    m_isPublishing = false;
    m_retryAt.reset();
}

void ConfigurationPublisher::transact(Call call, Ports::Transaction transaction)
{
    m_call = call;
    m_token = m_nextToken++;
    m_actions.push_back(PlatformTransact { m_token, std::move(transaction) });
}

void ConfigurationPublisher::setInForce(AcceptedChange change)
{
    if (change.revision > m_inForce.revision)
        m_inForce = std::move(change);
}

std::optional<Common::Instant> ConfigurationPublisher::nextDeadline() const
{
    return m_retryAt;
}

std::vector<PlatformAction> ConfigurationPublisher::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<PublishResult> ConfigurationPublisher::takeResults()
{
    return std::exchange(m_results, {});
}

} // namespace Decision
