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

    /// A request in order of arrival, and its reply once there is one.
    struct Waiting {
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
        // The promise is dropped: the library resolves it without a lock, so that another thread mustn't chain to it.
        // A rejected write means that the caller has gone, of which the connection is told elsewhere.
        writer.send(static_cast<Code>(reply.status), data, size);
    }

} // namespace

class Connection::Private {
public:
    explicit Private(CallerGuards guards)
        : m_guards(guards)
    {
    }

    std::optional<Waiting> takeReady()
    {
        for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
            if (it->reply) {
                std::optional<Waiting> ready(std::move(*it));
                m_waiting.erase(it);
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
            // Written under the lock, so that close() can't return, nor the descriptor be re-used, half-way through.
            m_written = true;
            write(ready->writer, *ready->reply);
        }
    }

    const CallerGuards m_guards;
    std::mutex m_mutex; // Guards the two below; taken before any lock of the library.
    std::deque<Waiting> m_waiting;
    bool m_gone = false;
    std::atomic<bool> m_written { false };
};

Connection::Connection(CallerGuards guards)
    : m_impl(std::make_unique<Private>(guards))
{
}

Connection::~Connection() = default;

void Connection::expect(Ports::CallerHandle handle, ResponseWriter writer)
{
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_waiting.push_back({ handle, std::move(writer), std::nullopt });
}

void Connection::reply(Ports::CallerHandle handle, Reply reply)
{
    const std::lock_guard lock(m_impl->m_mutex);
    if (m_impl->m_gone)
        return;
    for (auto& waiting : m_impl->m_waiting) {
        if (waiting.handle == handle && !waiting.reply) {
            waiting.reply = std::move(reply);
            break;
        }
    }
    m_impl->writeReady();
}

std::vector<Ports::CallerHandle> Connection::close()
{
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_gone = true;
    std::vector<Ports::CallerHandle> unanswered;
    for (const auto& waiting : m_impl->m_waiting) {
        if (!waiting.reply)
            unanswered.push_back(waiting.handle);
    }
    m_impl->m_waiting.clear();
    return unanswered;
}

bool Connection::mayHaveQueuedWrites() const { return m_impl->m_guards.settleBeforeClose && m_impl->m_written; }

} // namespace Adapters
