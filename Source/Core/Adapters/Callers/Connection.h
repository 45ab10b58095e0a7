#pragma once

/// A caller's connection and its unanswered requests.

#include "Adapters/Callers/AnswerFormat.h"
#include "Ports/CallerPort.h"

#include <memory>
#include <pistache/http.h>
#include <vector>

namespace Adapters {

/// Safeguards of the caller adapter. Tests disable one to reproduce the fault that it prevents.
struct CallerGuards {
    bool keepOrder = true; ///< Writes answers in request order, by which HTTP/1.1 matches them on a connection.
    bool flushBeforeClose = true; ///< Flushes queued writes before a close: the library addresses them by descriptor, which may be reused.
};

/// Writes replies in the order of the requests, regardless of the order in which they become available. Thread-safe.
class Connection {
public:
    explicit Connection(CallerGuards = {});
    ~Connection();

    /// Adds a request at the end of the queue; its reply is written through the writer.
    void addRequest(Ports::CallerHandle, Pistache::Http::ResponseWriter);
    /// Writes the reply to a request as soon as all earlier requests have theirs. Ignored after close().
    void reply(Ports::CallerHandle, Reply);
    /// To be called when the caller has disconnected. Returns the requests without a reply; nothing is written once this has
    /// returned.
    std::vector<Ports::CallerHandle> close();
    /// True if a reply may still be in the library's write queue.
    bool mayHaveQueuedWrites() const;

private:
    class Private;
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
