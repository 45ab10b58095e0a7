#pragma once

/// Callers of a fleet: threads that ask, and ask again with the same key through another entry host.

#include "Process/Fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ProcessTests {

/// What to ask.
struct Question {
    std::string service = "lesson-booking";
    bool idempotent = false;
    unsigned runMilliseconds = 50;
};

/// A request with its own body and key; every try sends the same bytes.
class Booking {
public:
    static Booking create(const Question&);

    HttpReply ask(const FleetHost&) const;
    std::string bodyHash() const;
    /// True when the answer is the result of this very body.
    bool matches(const HttpReply&) const;
    const Question& question() const { return m_question; }

private:
    Question m_question;
    std::string m_body;
    std::string m_key;
};

/// A request and the answers of its tries, in order.
struct Asked {
    Booking booking;
    std::vector<HttpReply> tries;
};

/// Sums over what was asked. The promises hold when the last four are zero.
struct Tally {
    std::size_t done = 0;
    std::size_t notRun = 0; ///< Every try was answered so.
    std::size_t unknown = 0; ///< No result, and some try may have run.
    std::size_t broken = 0; ///< Tries whose connection broke.
    std::size_t doubled = 0; ///< Non-idempotent bodies that ran more than once.
    std::size_t falselyNotRun = 0; ///< Ran although every try was answered not-run.
    std::size_t lost = 0; ///< Answered with a result but never ran.
    std::size_t strange = 0; ///< Answered with something else than the own result or a documented outcome.

    bool promisesHold() const { return doubled + falselyNotRun + lost + strange == 0; }
    std::size_t ranBeforeNotRun = 0; ///< Ran, though the last try, after one of open outcome, was answered not-run.
    std::map<std::string, std::size_t> reasons; ///< Of the last tries of those without a result.

    std::string text() const;
};

/// Threads that ask one request after the other until stop().
class FleetLoad {
public:
    /// Each request goes to the hosts in turn, from another first one each time, until it has a result.
    FleetLoad(std::vector<const FleetHost*>, unsigned threads, std::vector<Question>);
    ~FleetLoad();

    std::vector<Asked> stop();
    /// Waits until `n` more requests have been answered.
    bool more(std::size_t n) const;
    /// Tries so far whose connection broke or whose caller gave up.
    std::size_t broken() const { return m_broken; }

private:
    void run(unsigned thread);

    std::vector<const FleetHost*> m_hosts;
    std::vector<Question> m_questions;
    std::atomic<bool> m_stop { false };
    std::atomic<std::size_t> m_answered { 0 };
    std::atomic<std::size_t> m_broken { 0 };
    std::mutex m_mutex; ///< Guards m_asked.
    std::vector<Asked> m_asked;
    std::vector<std::thread> m_threads;
};

/// Asks all at once, each of one host in turn, and returns when all have been answered.
std::vector<Asked> askAtOnce(const std::vector<const FleetHost*>&, const std::vector<Question>&, const std::function<void()>& meanwhile);

/// Compares answers with what ran.
Tally tally(const std::vector<Asked>&, const std::map<std::string, std::uint64_t>& runs);

} // namespace ProcessTests
