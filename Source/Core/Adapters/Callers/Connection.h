#pragma once

/// A caller's connection with the requests that wait on it for an answer.

#include "Adapters/Callers/AnswerFormat.h"
#include "Ports/CallerPort.h"

#include <memory>
#include <pistache/http.h>
#include <vector>

namespace Adapters {

/// Safeguards of the caller adapter. Tests turn one off to see the fault that it prevents.
struct CallerGuards {
    bool keepOrder = true; ///< HTTP matches answers to requests by their order on the connection.
    bool settleBeforeClose = true; ///< The library addresses queued writes by descriptor, which may be re-used.
};

/// Writes answers in the order in which the requests came, whatever the order of the answers. Thread-safe.
class Connection {
public:
    explicit Connection(CallerGuards = {});
    ~Connection();

    /// Notes a request; its answer is written through the writer.
    void expect(Ports::CallerHandle, Pistache::Http::ResponseWriter);
    /// Takes the reply to a request, and writes it as soon as all earlier ones are written.
    void reply(Ports::CallerHandle, Reply);
    /// The caller has hung up: returns the requests without a reply. Nothing is written after this returns.
    std::vector<Ports::CallerHandle> close();
    /// True while a written reply may still lie in the library's queue.
    bool mayHaveQueuedWrites() const;

private:
    class Private;
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
