#include "Adapters/Callers/Connection.h"

#include "Adapters/Callers/TextHeader.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace Adapters {
namespace {

    using Pistache::Http::Code;
    using Pistache::Http::ResponseWriter;

    /// A request and, once available, its reply.
    struct PendingRequest {
        Ports::CallerHandle handle;
        ResponseWriter writer;
        std::optional<Reply> reply;
    };

    void addHeaders(ResponseWriter& writer, const Reply& reply)
    {
        if (!reply.contentType.empty())
            addHeader(writer, "Content-Type", reply.contentType);
        for (const auto& line : reply.headers)
            addHeader(writer, line.name, line.value);
    }

    void write(ResponseWriter& writer, const Reply& reply)
    {
        addHeaders(writer, reply);
        const char* data = reply.body ? reply.body->data() : "";
        const std::size_t size = reply.body ? reply.body->size() : 0;
        // The returned promise is ignored: the library resolves it without a lock, so other threads must not chain to it.
        // A rejected write means that the caller has disconnected; onDisconnection() reports that.
        writer.send(static_cast<Code>(reply.status), data, size);
    }

} // namespace

class Connection::Private {
public:
    explicit Private(CallerGuards guards)
        : m_guards(guards)
    {
    }

    std::optional<PendingRequest> takeReady()
    {
        for (auto it = m_pending.begin(); it != m_pending.end(); ++it) {
            if (it->reply) {
                std::optional<PendingRequest> ready(std::move(*it));
                m_pending.erase(it);
                return ready;
            }
            if (m_guards.keepOrder)
                return std::nullopt;
        }
        return std::nullopt;
    }

    void writeReady()
    {
        while (auto ready = takeReady()) {
            // Write under the lock: close() must not return, nor the descriptor be reused, during a write.
            m_written = true;
            write(ready->writer, *ready->reply);
        }
    }

    const CallerGuards m_guards;
    std::mutex m_mutex; // Guards m_pending and m_closed; acquired before any lock of the library.
    std::deque<PendingRequest> m_pending;
    bool m_closed = false;
    std::atomic<bool> m_written { false };
};

Connection::Connection(CallerGuards guards)
    : m_impl(std::make_unique<Private>(guards))
{
}

Connection::~Connection() = default;

void Connection::addRequest(Ports::CallerHandle handle, ResponseWriter writer)
{
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_pending.push_back({ handle, std::move(writer), std::nullopt });
}

void Connection::reply(Ports::CallerHandle handle, Reply reply)
{
    const std::lock_guard lock(m_impl->m_mutex);
    if (m_impl->m_closed)
        return;
    for (auto& pending : m_impl->m_pending) {
        if (pending.handle == handle && !pending.reply) {
            pending.reply = std::move(reply);
            break;
        }
    }
    m_impl->writeReady();
}

std::vector<Ports::CallerHandle> Connection::close()
{
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_closed = true;
    std::vector<Ports::CallerHandle> unanswered;
    for (const auto& pending : m_impl->m_pending) {
        if (!pending.reply)
            unanswered.push_back(pending.handle);
    }
    m_impl->m_pending.clear();
    return unanswered;
}

bool Connection::mayHaveQueuedWrites() const { return m_impl->m_guards.flushBeforeClose && m_impl->m_written; }

} // namespace Adapters
