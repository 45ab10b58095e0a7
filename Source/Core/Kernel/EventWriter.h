#pragma once

/// Writes event lines to a descriptor from a thread of its own. Never blocks whoever writes: lines beyond the buffer are
/// dropped, and their number is written in a line of its own.

#include <cstddef>
#include <memory>
#include <string_view>

namespace Kernel {

/// Thread-safe.
class EventWriter {
public:
    /// The descriptor stays open; `bufferBytes` bounds what waits to be written.
    EventWriter(int descriptor, std::size_t bufferBytes);
    /// Writes what waits, then ends.
    ~EventWriter();
    EventWriter(const EventWriter&) = delete;
    EventWriter& operator=(const EventWriter&) = delete;

    /// One line, without its end.
    void write(std::string_view line);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
