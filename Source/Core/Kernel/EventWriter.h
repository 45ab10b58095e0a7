#pragma once

/// Writes event lines to a file descriptor from a background thread. Callers never wait for the descriptor: lines that
/// exceed the buffer are dropped, and their number is written as an "events-dropped" event.

#include <cstddef>
#include <memory>
#include <string_view>

namespace Kernel {

/// Thread-safe.
class EventWriter {
public:
    /// Doesn't close the descriptor, which must stay open. `bufferBytes` limits the lines that wait to be written.
    EventWriter(int descriptor, std::size_t bufferBytes);
    /// Writes the waiting lines, then joins the thread.
    ~EventWriter();
    EventWriter(const EventWriter&) = delete;
    EventWriter& operator=(const EventWriter&) = delete;

    /// Queues one line, to be passed without a newline. Lines are lost silently once writing to the descriptor fails.
    void write(std::string_view line);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
