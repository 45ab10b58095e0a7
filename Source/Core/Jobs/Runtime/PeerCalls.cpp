#include "Jobs/Runtime/PeerCalls.h"

#include <utility>
#include <vector>

namespace Jobs {

namespace {

    constexpr unsigned callNumberBits = 32; ///< Low bits that count the calls of one incarnation; the incarnation's own bits are above.
    constexpr milliseconds probeTimeout { 200 }; ///< The longest that a busy peer takes to answer.

} // namespace

PeerCalls::PeerCalls(Common::TaskLoop& loop, Ports::PeerPort& port, std::uint64_t incarnation)
    : m_loop(loop)
    , m_port(port)
    , m_lastCall(incarnation << callNumberBits)
{
}

void PeerCalls::call(const std::string& host, NodeMessage message, milliseconds timeout, Callback callback)
{
    const auto now = m_loop.now();
    if (!m_silence.isSilent(host, now)) {
        send(host, std::move(message), timeout, std::move(callback));
        return;
    }
    m_limiter.write({ "peer-silent", host, { { "waitingMs", std::to_string(m_silence.waitingFor(host, now).count()) } } }, now);
    auto& held = m_held[host];
    held.push_back({ std::move(message), timeout, std::move(callback) });
    if (held.size() == 1)
        probe(host);
}

/// Asks for the load of no pool, which has no effect at the peer.
void PeerCalls::probe(const std::string& host)
{
    send(host, LoadCall {}, probeTimeout, [this, host](PeerStatus status, const NodeMessage&) { releaseHeld(host, status == PeerStatus::Answered); });
}

void PeerCalls::releaseHeld(const std::string& host, bool isAnswered)
{
    auto held = std::move(m_held[host]);
    m_held.erase(host);
    for (auto& it : held) {
        if (isAnswered)
            send(host, std::move(it.message), it.timeout, std::move(it.callback));
        else
            it.callback(PeerStatus::NotSent, {});
    }
}

void PeerCalls::send(const std::string& host, NodeMessage message, milliseconds timeout, Callback callback)
{
    const auto number = ++m_lastCall;
    std::visit([number](auto& it) { it.call = number; }, message);
    if (!m_port.send(host, encodeNodeMessage(message))) {
        callback(PeerStatus::NotSent, {});
        return;
    }
    m_silence.onSent(host, m_loop.now());
    const auto timer = m_loop.after(timeout, [this, number] { end(number, PeerStatus::NoAnswer, {}); });
    m_pending[number] = { host, std::move(callback), timer };
}

void PeerCalls::handleAnswer(const NodeMessage& message)
{
    const auto number = std::visit([](const auto& it) { return it.call; }, message);
    end(number, PeerStatus::Answered, message);
}

void PeerCalls::handleDisconnect(const std::string& host)
{
    m_silence.onDisconnected(host);
    std::vector<std::uint64_t> lost;
    for (const auto& [number, pending] : m_pending) {
        if (pending.host == host)
            lost.push_back(number);
    }
    for (const auto number : lost)
        end(number, PeerStatus::NoAnswer, {});
}

void PeerCalls::abandon()
{
    while (!m_pending.empty())
        end(m_pending.begin()->first, PeerStatus::NoAnswer, {});
}

void PeerCalls::reply(const std::string& host, const NodeMessage& message)
{
    if (!m_port.send(host, encodeNodeMessage(message)))
        m_limiter.write({ "answer-not-sent", host, {} }, m_loop.now());
}

void PeerCalls::end(std::uint64_t number, PeerStatus status, const NodeMessage& message)
{
    const auto it = m_pending.find(number);
    if (it == m_pending.end())
        return; // It has timed out or was ended by a disconnect.
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    m_loop.cancel(pending.timer);
    pending.callback(status, message);
}

} // namespace Jobs
