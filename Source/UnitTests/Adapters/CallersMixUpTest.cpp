/// Nobody gets a stranger's bytes: thousands of callers on kept connections, half of which hang up early.

#include "Adapters/Callers/PistacheCallers.h"
#include "Adapters/CallersFakeSink.h"
#include "Adapters/CallersRawSocket.h"

#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <random>
#include <thread>

using namespace AdapterTests;

namespace {

constexpr unsigned seed = 20261204;
constexpr unsigned clientThreads = 8;
constexpr unsigned callersPerThread = 4000;
constexpr unsigned answerThreads = 4;
constexpr std::uint16_t listenPort = 25110;

/// Answers with the request's own body, from several threads and in random order.
class ShufflingResponder {
public:
    explicit ShufflingResponder(Ports::CallerPort& port)
        : m_port(port)
    {
        for (unsigned i = 0; i < answerThreads; ++i)
            m_threads.emplace_back([this, i] { answerAll(seed + i); });
    }

    void add(Ports::CallerRequest request)
    {
        const std::lock_guard lock(m_mutex);
        m_held.push_back(std::move(request));
        m_changed.notify_one();
    }

    void finish()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_finished = true;
            m_changed.notify_all();
        }
        for (auto& thread : m_threads)
            thread.join();
    }

private:
    void answerAll(unsigned ownSeed)
    {
        std::mt19937 random(ownSeed);
        for (;;) {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return !m_held.empty() || m_finished; });
            if (m_held.empty())
                return;
            std::swap(m_held[random() % m_held.size()], m_held.back());
            const auto request = std::move(m_held.back());
            m_held.pop_back();
            lock.unlock();
            m_port.answer(request.handle, doneAnswer(*request.body));
        }
    }

    Ports::CallerPort& m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Ports::CallerRequest> m_held;
    bool m_finished = false;
    std::vector<std::thread> m_threads;
};

struct Tally {
    std::atomic<unsigned> own { 0 };
    std::atomic<unsigned> strangers { 0 };
    std::atomic<unsigned> missing { 0 };
    std::atomic<unsigned> hungUp { 0 };
};

/// A body that names its caller, and is of a different length from most others.
std::string bodyOf(unsigned thread, unsigned caller, std::mt19937& random)
{
    std::string body = "caller " + std::to_string(thread) + '/' + std::to_string(caller) + ' ';
    return body.append(random() % 3000, static_cast<char>('a' + caller % 26));
}

/// Several callers at a time on connections of their own; each one hangs up early or reads its answer and goes on.
void runCallers(unsigned thread, Tally& tally)
{
    constexpr unsigned abreast = 10;
    std::mt19937 random(seed * 31 + thread);
    std::vector<RawSocket> sockets;
    for (unsigned i = 0; i < abreast; ++i)
        sockets.push_back(RawSocket::connectTo(listenPort));
    for (unsigned round = 0; round < callersPerThread / abreast; ++round) {
        std::vector<std::string> bodies;
        for (unsigned i = 0; i < abreast; ++i) {
            bodies.push_back(bodyOf(thread, round * abreast + i, random));
            sockets[i].send(runRequest(bodies[i], "Connection: Keep-Alive\r\n"));
        }
        for (unsigned i = 0; i < abreast; ++i) {
            if (random() % 2) {
                ++tally.hungUp;
                sockets[i].close();
                sockets[i] = RawSocket::connectTo(listenPort);
                continue;
            }
            const auto reply = sockets[i].read();
            if (!reply)
                ++tally.missing;
            else if (reply->body == bodies[i])
                ++tally.own;
            else
                ++tally.strangers;
        }
    }
}

} // namespace

namespace {

/// Lets all callers run once against an adapter with these safeguards.
void runAll(Adapters::CallerGuards guards, Tally& tally)
{
    FakeCallerSink sink;
    auto settings = callerSettings(listenPort);
    settings.threads = 3;
    const auto port = Adapters::PistacheCallers::create(settings, guards).take();
    ShufflingResponder responder(*port);
    sink.onRequest = [&](Ports::CallerRequest request) { responder.add(std::move(request)); };
    port->start(sink);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < clientThreads; ++i)
        threads.emplace_back([i, &tally] { runCallers(i, tally); });
    for (auto& thread : threads)
        thread.join();
    responder.finish();
    port->stop();
}

} // namespace

TEST_CASE("Thousands of callers, half of them hanging up early: nobody gets a stranger's bytes")
{
    Tally tally;
    runAll({}, tally);
    CHECK(tally.strangers.load() == 0);
    CHECK(tally.missing.load() == 0);
    CHECK(tally.own + tally.hungUp == clientThreads * callersPerThread);
    CHECK(tally.hungUp > clientThreads * callersPerThread / 3);
}

TEST_CASE("Without the safeguard a re-used descriptor brings a stranger's bytes")
{
    constexpr unsigned mostRounds = 20; // The threads' interleaving decides in which one it happens.
    Tally tally;
    for (unsigned round = 0; round < mostRounds && tally.strangers == 0; ++round)
        runAll({ .settleBeforeClose = false }, tally);
    CHECK(tally.strangers.load() > 0);
}
