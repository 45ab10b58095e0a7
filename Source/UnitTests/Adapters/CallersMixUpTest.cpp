/// Guards against answers that reach the wrong caller. Thousands of callers use persistent connections and half of them
/// disconnect early, so that the system reuses their descriptors while answers are still being written.

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

/// Echoes each request's body, from several threads and in random order.
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
        m_pending.push_back(std::move(request));
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
    void answerAll(unsigned threadSeed)
    {
        std::mt19937 random(threadSeed);
        for (;;) {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return !m_pending.empty() || m_finished; });
            if (m_pending.empty())
                return;
            std::swap(m_pending[random() % m_pending.size()], m_pending.back());
            const auto request = std::move(m_pending.back());
            m_pending.pop_back();
            lock.unlock();
            m_port.answer(request.handle, doneAnswer(*request.body));
        }
    }

    Ports::CallerPort& m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Ports::CallerRequest> m_pending;
    bool m_finished = false;
    std::vector<std::thread> m_threads;
};

struct Tally {
    std::atomic<unsigned> matching { 0 };
    std::atomic<unsigned> mismatched { 0 };
    std::atomic<unsigned> missing { 0 };
    std::atomic<unsigned> disconnected { 0 };
};

/// A body that identifies its caller, of random length.
std::string bodyOf(unsigned thread, unsigned caller, std::mt19937& random)
{
    std::string body = "caller " + std::to_string(thread) + '/' + std::to_string(caller) + ' ';
    return body.append(random() % 3000, static_cast<char>('a' + caller % 26));
}

/// Runs several callers at a time, each on its own connection. A caller either disconnects early or reads its answer and keeps
/// the connection.
void runCallers(unsigned thread, Tally& tally)
{
    constexpr unsigned connectionCount = 10;
    std::mt19937 random(seed * 31 + thread);
    std::vector<RawSocket> sockets;
    for (unsigned i = 0; i < connectionCount; ++i)
        sockets.push_back(RawSocket::connectTo(listenPort));
    for (unsigned round = 0; round < callersPerThread / connectionCount; ++round) {
        std::vector<std::string> bodies;
        for (unsigned i = 0; i < connectionCount; ++i) {
            bodies.push_back(bodyOf(thread, round * connectionCount + i, random));
            sockets[i].send(runRequest(bodies[i], "Connection: Keep-Alive\r\n"));
        }
        for (unsigned i = 0; i < connectionCount; ++i) {
            if (random() % 2) {
                ++tally.disconnected;
                sockets[i].close();
                sockets[i] = RawSocket::connectTo(listenPort);
                continue;
            }
            const auto reply = sockets[i].read();
            if (!reply)
                ++tally.missing;
            else if (reply->body == bodies[i])
                ++tally.matching;
            else
                ++tally.mismatched;
        }
    }
}

} // namespace

namespace {

/// Runs all callers once against an adapter with these safeguards.
void runWithGuards(Adapters::CallerGuards guards, Tally& tally)
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

TEST_CASE("No caller receives another caller's answer when half of thousands of callers disconnect early")
{
    Tally tally;
    runWithGuards({}, tally);
    CHECK(tally.mismatched.load() == 0);
    CHECK(tally.missing.load() == 0);
    CHECK(tally.matching + tally.disconnected == clientThreads * callersPerThread);
    CHECK(tally.disconnected > clientThreads * callersPerThread / 3);
}

TEST_CASE("Without flushBeforeClose, a reused descriptor delivers another caller's answer")
{
    constexpr unsigned maximumRounds = 20; // The fault depends on how the threads interleave.
    Tally tally;
    for (unsigned round = 0; round < maximumRounds && tally.mismatched == 0; ++round)
        runWithGuards({ .flushBeforeClose = false }, tally);
    CHECK(tally.mismatched.load() > 0);
}
