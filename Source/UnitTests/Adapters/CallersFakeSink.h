#pragma once

/// A caller sink that records its calls and passes each request to a callback of the test.

#include "Ports/CallerPort.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace AdapterTests {

/// Records requests and disconnections. Thread-safe.
class FakeCallerSink final : public Ports::CallerSink {
public:
    void onCallerRequest(Ports::CallerRequest request) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
            m_changed.notify_all();
        }
        if (onRequest)
            onRequest(std::move(request));
    }

    void onCallerDisconnected(Ports::CallerHandle handle) override
    {
        const std::lock_guard lock(m_mutex);
        m_disconnected.push_back(handle);
        m_changed.notify_all();
    }

    bool cancelByKey(const std::string& team, const std::string& key) override { return team == "norrvik" && key == "imlil/018f"; }
    bool isReady() override { return ready; }

    /// Blocks until that many requests have arrived; returns the last of these.
    Ports::CallerRequest waitRequest(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_requests.size() >= count; });
        return m_requests[count - 1];
    }

    /// Blocks until that many disconnections have been reported; returns all.
    std::vector<Ports::CallerHandle> waitDisconnected(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_disconnected.size() >= count; });
        return m_disconnected;
    }

    std::size_t requestCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

    std::size_t disconnectedCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_disconnected.size();
    }

    std::function<void(Ports::CallerRequest)> onRequest; ///< Set before the port starts.
    std::atomic<bool> ready { true };

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Ports::CallerRequest> m_requests;
    std::vector<Ports::CallerHandle> m_disconnected;
};

/// Settings for a caller port on a loopback TCP port.
inline Ports::CallerSettings callerSettings(std::uint16_t port)
{
    Ports::CallerSettings settings;
    settings.listenAddress = "127.0.0.1:" + std::to_string(port);
    return settings;
}

/// A valid HTTP request to run a service.
inline std::string runRequest(const std::string& body, const std::string& moreHeaders = "")
{
    return "POST /v1/services/lessons HTTP/1.1\r\nHost: x\r\nMarigold-Team: norrvik\r\nMarigold-Priority: urgent\r\n" + moreHeaders
        + "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An answer with outcome Done and status 200.
inline Ports::Answer doneAnswer(const std::string& body)
{
    Ports::Answer answer;
    answer.outcome = Ports::Outcome::Done;
    answer.status = 200;
    answer.contentType = "text/plain";
    answer.body = std::make_shared<const std::string>(body);
    return answer;
}

} // namespace AdapterTests
