#pragma once

/// A caller sink that notes what it is told and lets the test act on each request.

#include "Ports/CallerPort.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace AdapterTests {

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
        m_gone.push_back(handle);
        m_changed.notify_all();
    }

    bool cancelByKey(const std::string& team, const std::string& key) override { return team == "norrvik" && key == "imlil/018f"; }
    bool isReady() override { return ready; }

    Ports::CallerRequest waitRequest(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_requests.size() >= count; });
        return m_requests[count - 1];
    }

    std::vector<Ports::CallerHandle> waitGone(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_gone.size() >= count; });
        return m_gone;
    }

    std::size_t requestCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.size();
    }

    std::size_t goneCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_gone.size();
    }

    std::function<void(Ports::CallerRequest)> onRequest; ///< Set before the port starts.
    std::atomic<bool> ready { true };

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Ports::CallerRequest> m_requests;
    std::vector<Ports::CallerHandle> m_gone;
};

/// Settings for a port of the test's own.
inline Ports::CallerSettings callerSettings(std::uint16_t port)
{
    Ports::CallerSettings settings;
    settings.listenAddress = "127.0.0.1:" + std::to_string(port);
    return settings;
}

/// A well-formed request to run a service.
inline std::string runRequest(const std::string& body, const std::string& moreHeaders = "")
{
    return "POST /v1/services/lessons HTTP/1.1\r\nHost: x\r\nMarigold-Team: norrvik\r\nMarigold-Priority: urgent\r\n" + moreHeaders
        + "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A whole result.
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
