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

    constexpr std::chrono::milliseconds gatherTime { 25 }; ///< Lines of so long go out in one write.

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
        while (!isOver || !waiting.empty()) {
            wake.wait(lock, [this] { return isOver || !waiting.empty(); });
            wake.wait_for(lock, gatherTime, [this] { return isOver; });
            auto text = std::exchange(waiting, {});
            const auto lost = std::exchange(dropped, 0);
            lock.unlock();
            if (lost > 0)
                text += "{\"event\":\"events-dropped\",\"count\":\"" + std::to_string(lost) + "\"}\n";
            writeAll(text);
            lock.lock();
        }
    }

    /// Writes of up to PIPE_BUF bytes to a pipe are atomic: as these end with a line, no reader gets a part of one, and
    /// lines of processes that share the pipe aren't mixed.
    void writeAll(std::string_view text) const
    {
        while (!text.empty()) {
            const auto lastEnd = text.substr(0, PIPE_BUF).rfind('\n');
            const auto lineEnd = lastEnd == std::string_view::npos ? text.find('\n') : lastEnd;
            const auto length = lineEnd == std::string_view::npos ? text.size() : lineEnd + 1;
            if (!writeWhole(text.substr(0, length)))
                return; // Whoever reads the log has gone, and there is nowhere to say so.
            text.remove_prefix(length);
        }
    }

    bool writeWhole(std::string_view text) const
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
    std::string waiting;
    std::size_t dropped = 0;
    bool isOver = false;
    std::thread thread; ///< Last: it uses the others.
};

EventWriter::EventWriter(int descriptor, std::size_t bufferBytes)
    : m_private(std::make_unique<Private>(descriptor, bufferBytes))
{
}

EventWriter::~EventWriter()
{
    {
        const std::lock_guard lock(m_private->mutex);
        m_private->isOver = true;
    }
    m_private->wake.notify_one();
    m_private->thread.join();
}

void EventWriter::write(std::string_view line)
{
    const std::lock_guard lock(m_private->mutex);
    if (m_private->waiting.size() + line.size() >= m_private->bufferBytes) {
        ++m_private->dropped;
        return;
    }
    const bool wasEmpty = m_private->waiting.empty();
    m_private->waiting += line;
    m_private->waiting += '\n';
    if (wasEmpty)
        m_private->wake.notify_one();
}

} // namespace Kernel
