#include "Jobs/Runtime/JournalLoader.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <charconv>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds retryDelay { 100 }; ///< Kept short, as no host serves the pool until the journal is loaded.

    template<typename T>
    bool parseNumber(std::string_view text, T& number)
    {
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        return ec == std::errc {} && end == text.data() + text.size();
    }

    bool parseHead(std::string_view text, JournalHead& head)
    {
        const auto space = text.find(' ');
        if (space == std::string_view::npos || !parseNumber(text.substr(0, space), head.firstSegment) || !parseNumber(text.substr(space + 1), head.parts))
            return false;
        return true;
    }

} // namespace

std::string formatHead(const JournalHead& head)
{
    return std::to_string(head.firstSegment) + ' ' + std::to_string(head.parts);
}

std::string snapshotPrefix(const std::string& pool, std::uint64_t firstSegment)
{
    return StoreKeys::snapshots + pool + '/' + StoreKeys::numberText(firstSegment) + '/';
}

JournalLoader::JournalLoader(Common::TaskLoop& loop, Ports::PlatformPort& platform, std::string pool)
    : m_loop(loop)
    , m_platform(platform)
    , m_pool(std::move(pool))
{
}

void JournalLoader::load(Callback callback)
{
    m_callback = std::move(callback);
    readHead();
}

void JournalLoader::retry(const char* step, const Ports::PlatformReply& reply)
{
    m_limiter.write({ "load-failed", m_pool, { { "step", step }, { "status", std::to_string(static_cast<int>(reply.status)) }, { "values", std::to_string(reply.values.size()) }, { "tries", std::to_string(++m_attempts) } } }, m_loop.now());
    m_contents = {};
    m_loop.after(retryDelay, [self = shared_from_this()] { self->readHead(); });
}

void JournalLoader::readHead()
{
    m_platform.read(StoreKeys::heads + m_pool, false, [self = shared_from_this()](const Ports::PlatformReply& reply) {
        JournalHead head;
        const bool isRead = reply.status == Ports::PlatformStatus::Ok;
        if (isRead && reply.values.empty())
            self->readSegments();
        else if (isRead && parseHead(reply.values.front().value, head))
            self->readSnapshot(head);
        else
            self->retry("head", reply);
    });
}

void JournalLoader::readSnapshot(const JournalHead& head)
{
    m_platform.read(snapshotPrefix(m_pool, head.firstSegment), true, [self = shared_from_this(), head](const Ports::PlatformReply& reply) {
        if (reply.status == Ports::PlatformStatus::Ok && self->applySnapshot(reply.values, head))
            self->readSegments();
        else
            self->retry("snapshot", reply);
    });
}

bool JournalLoader::applySnapshot(const std::vector<Ports::KeyValue>& parts, const JournalHead& head)
{
    if (parts.size() != head.parts)
        return false;
    std::string text;
    for (const auto& it : parts) {
        text += it.value;
        m_contents.snapshotKeys.push_back(it.key);
    }
    if (!readRecords(text, m_contents.records)) {
        writeEvent("journal", { "snapshot-unreadable", m_pool, { { "segment", std::to_string(head.firstSegment) } } });
        return false;
    }
    m_contents.firstSegment = head.firstSegment;
    m_contents.nextSegment = head.firstSegment;
    return true;
}

void JournalLoader::readSegments()
{
    m_platform.read(StoreKeys::journals + m_pool + '/', true, [self = shared_from_this()](const Ports::PlatformReply& reply) {
        if (reply.status == Ports::PlatformStatus::Ok && self->applySegments(reply.values))
            self->m_callback(std::move(self->m_contents));
        else
            self->retry("segments", reply);
    });
}

/// Segments are numbered without gaps. Those that the snapshot covers may still be stored and are skipped.
bool JournalLoader::applySegments(const std::vector<Ports::KeyValue>& segments)
{
    for (const auto& it : segments) {
        std::uint64_t number = 0;
        if (!parseNumber(std::string_view(it.key).substr(it.key.rfind('/') + 1), number)) {
            writeEvent("journal", { "segment-unreadable", m_pool, { { "key", it.key } } });
            continue;
        }
        if (m_contents.oldestSegment == 0)
            m_contents.oldestSegment = number;
        if (number < m_contents.firstSegment)
            continue;
        if (number != m_contents.nextSegment)
            return false; // It was deleted between the pages of this read, so that the head has changed: start over.
        const auto fenceEnd = it.value.find('\n');
        if (fenceEnd == std::string::npos || !readRecords(std::string_view(it.value).substr(fenceEnd + 1), m_contents.records))
            writeEvent("journal", { "segment-unreadable", m_pool, { { "key", it.key } } });
        m_contents.nextSegment = number + 1;
    }
    return true;
}

} // namespace Jobs
