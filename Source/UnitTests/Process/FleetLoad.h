#pragma once

/// Callers of a fleet: threads that send requests and retry them with the same key at another entry host.

#include "Process/Fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ProcessTests {

/// Kind of a request.
struct RequestKind {
    std::string service = "lesson-booking";
    bool idempotent = false;
    unsigned runMilliseconds = 50;
    std::chrono::milliseconds timeout { 4000 }; ///< Until the deadline, from arrival.
};

/// A request with a unique body and idempotency key; every attempt sends the same bytes.
class TestRequest {
public:
    static TestRequest create(const RequestKind&);

    /// Sends the request and waits for the answer.
    HttpReply send(const FleetHost&) const;
    std::string bodyHash() const;
    /// True when the answer is complete and the result of this body.
    bool matches(const HttpReply&) const;
    const RequestKind& kind() const { return m_kind; }

private:
    RequestKind m_kind;
    std::string m_body;
    std::string m_key;
};

/// A request and the answers to its attempts, in order.
struct RequestRecord {
    TestRequest request;
    std::vector<HttpReply> attempts;
};

/// Sums over requests. No guarantee was violated when doubled, falselyNotRun, lost and mismatched are zero.
struct Tally {
    std::size_t done = 0; ///< Requests with a result.
    std::size_t notRun = 0; ///< Every attempt was answered as not run.
    std::size_t unknown = 0; ///< No result, and some attempt may have run.
    std::size_t broken = 0; ///< Attempts whose connection broke or whose caller gave up.
    std::size_t doubled = 0; ///< Non-idempotent bodies that ran more than once.
    std::size_t falselyNotRun = 0; ///< Ran although every attempt was answered as not run.
    std::size_t lost = 0; ///< Answered with a result, but never ran.
    std::size_t mismatched = 0; ///< Complete answers that are neither the request's own result nor a documented outcome.

    bool hasNoViolations() const { return doubled + falselyNotRun + lost + mismatched == 0; }
    std::size_t ranBeforeNotRun = 0; ///< Ran, and the last attempt was answered as not run, but an earlier one may have run: no violation.
    std::map<std::string, std::size_t> reasons; ///< Reasons in the last answers to requests without a result, with "idempotent:" or "once:" in front.

    /// All sums in one line, for the test's output.
    std::string text() const;
};

/// Threads that each send one request after the other until stop().
class FleetLoad {
public:
    /// Starts the threads. Each request is sent to the hosts in turn, beginning with another one each time, until it has a result or
    /// the maximum of attempts is reached. The kinds of requests alternate.
    FleetLoad(std::vector<const FleetHost*>, unsigned threads, std::vector<RequestKind>);
    ~FleetLoad();

    /// Waits for the requests in progress and returns all requests.
    std::vector<RequestRecord> stop();
    /// Waits until `n` more requests have ended; false when that takes too long.
    bool waitForMore(std::size_t n) const;
    /// Number of attempts so far whose connection broke or whose caller gave up.
    std::size_t broken() const { return m_broken; }

private:
    void run(unsigned thread);

    std::vector<const FleetHost*> m_hosts;
    std::vector<RequestKind> m_kinds;
    std::atomic<bool> m_stop { false };
    std::atomic<std::size_t> m_answered { 0 };
    std::atomic<std::size_t> m_broken { 0 };
    std::mutex m_mutex; ///< Guards m_records.
    std::vector<RequestRecord> m_records;
    std::vector<std::thread> m_threads;
};

/// Sends all requests at once, once each, distributed over the hosts round robin. Calls `meanwhile` with the requests while they are
/// in progress and returns when all have ended.
std::vector<RequestRecord> sendAtOnce(const std::vector<const FleetHost*>&, const std::vector<RequestKind>&, const std::function<void(const std::vector<TestRequest>&)>& meanwhile);

/// Compares answers with the executors' run counts by body hash.
Tally tally(const std::vector<RequestRecord>&, const std::map<std::string, std::uint64_t>& runs);

} // namespace ProcessTests
