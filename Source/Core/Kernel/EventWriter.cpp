#include "Kernel/EventWriter.h"

#include <chrono>
#include <climits>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Kernel {

namespace {

    constexpr std::chrono::milliseconds batchDelay { 25 }; ///< Lines that arrive within this time are written together.

} // namespace

struct EventWriter::Private {
    Private(int fileDescriptor, std::size_t bytes)
        : descriptor(fileDescriptor)
        , bufferBytes(bytes)
        , thread([this] { run(); })
    {
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!stopping || !pending.empty()) {
            wake.wait(lock, [this] { return stopping || !pending.empty(); });
            wake.wait_for(lock, batchDelay, [this] { return stopping; });
            auto text = std::exchange(pending, {});
            const auto droppedCount = std::exchange(dropped, 0);
            lock.unlock();
            if (droppedCount > 0)
                text += "{\"event\":\"events-dropped\",\"count\":\"" + std::to_string(droppedCount) + "\"}\n";
            writeAll(text);
            lock.lock();
        }
    }

    /// Writes whole lines in pieces of at most PIPE_BUF bytes, which pipes take atomically: log collectors cut longer writes
    /// or mix them with those of other processes. A longer line is written on its own.
    void writeAll(std::string_view text) const
    {
        while (!text.empty()) {
            auto end = text.rfind('\n', PIPE_BUF - 1);
            if (end == std::string_view::npos)
                end = text.find('\n');
            if (!writePiece(text.substr(0, end + 1)))
                return; // The log's reader has closed its end, and there is no other place to report it.
            text.remove_prefix(end + 1);
        }
    }

    bool writePiece(std::string_view text) const
    {
        while (!text.empty()) {
            const auto n = ::write(descriptor, text.data(), text.size());
            if (n <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    const int descriptor;
    const std::size_t bufferBytes;
    std::mutex mutex; ///< Guards the members below.
    std::condition_variable wake;
    std::string pending;
    std::size_t dropped = 0;
    bool stopping = false;
    std::thread thread; ///< Last, because it uses the other members.
};

EventWriter::EventWriter(int descriptor, std::size_t bufferBytes)
    : m_private(std::make_unique<Private>(descriptor, bufferBytes))
{
}

EventWriter::~EventWriter()
{
    {
        const std::lock_guard lock(m_private->mutex);
        m_private->stopping = true;
    }
    m_private->wake.notify_one();
    m_private->thread.join();
}

void EventWriter::write(std::string_view line)
{
    const std::lock_guard lock(m_private->mutex);
    if (m_private->pending.size() + line.size() >= m_private->bufferBytes) {
        ++m_private->dropped;
        return;
    }
    const bool wasEmpty = m_private->pending.empty();
    m_private->pending += line;
    m_private->pending += '\n';
    if (wasEmpty)
        m_private->wake.notify_one();
}

} // namespace Kernel
