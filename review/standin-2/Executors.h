#pragma once

/// Stand-ins for the executors of a deployment and for the platform's machine service.

#include "Http.h"
#include "Record.h"
#include "Store.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/// What the tasks of one step of a job do.
struct StepPlan {
    milliseconds work { 500 };
    unsigned gangSize = 0; ///< Zero for tasks that work by themselves.
    milliseconds startup { 0 }; ///< Of tasks that last, until they are at work; zero for others.
};

/// All executors share one lock and one timer thread.
class Executors {
public:
    Executors(Store&, Record&);
    ~Executors();
    Executors(const Executors&) = delete;
    Executors& operator=(const Executors&) = delete;

    /// Starts an executor on a new machine.
    void add(const std::string& service, const std::string& id, std::uint64_t milliCores);
    /// Must be called before the job is handed in.
    void plan(const std::string& job, unsigned step, StepPlan);
    /// A grey executor fails all that it starts, while it looks healthy.
    void setGrey(const std::string& id, bool isGrey);
    /// The process ends: connections are reset, and it holds nothing any more. It starts again under its id after the time.
    void crash(const std::string& id, milliseconds downTime);
    /// Port of the machine service.
    unsigned machinePort() const { return m_machines->port(); }

private:
    using Clock = std::chrono::steady_clock;
    struct Run {
        std::uint64_t run = 0;
        Clock::time_point since;
        Clock::time_point doneAt;
        Clock::time_point stoppedAt {}; ///< When a stop takes effect; zero without one.
        bool fails = false;
    };
    struct Ended {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    /// One executor. What follows `port` is lost in a crash.
    struct Executor {
        std::string id;
        std::string service;
        std::string machine;
        std::uint64_t milliCores = 0;
        bool isGrey = false;
        unsigned port = 0;
        std::unique_ptr<HttpServer> server; ///< Null while it is down.
        Clock::time_point startedAt;
        Clock::time_point restartAt {};
        std::int64_t born = 0;
        std::uint64_t sequence = 0;
        Clock::time_point nextBeat {};
        std::uint64_t fence = 0;
        Clock::time_point leaseUntil {};
        std::uint64_t lastEnd = 0;
        std::map<std::string, Run> runs;
        std::map<std::string, std::uint64_t> highestRuns; ///< Stopped or ended, by task.
        std::deque<Ended> ended;
    };
    struct Gang {
        std::set<std::string> members; ///< Tasks that are present.
        Clock::time_point completeAt {};
        bool isBroken = false;
    };

    void start(Executor&);
    void heartbeat(Executor&);
    HttpResult serve(Executor&, const HttpRequest&);
    HttpResponse startRun(Executor&, const Json::Value&);
    HttpResponse stopRun(Executor&, const Json::Value&);
    HttpResponse hold(Executor&, const Json::Value&, std::unique_lock<std::mutex>&);
    HttpResponse refusal(const Executor&, const char* reason) const;
    HttpResponse lists(const Executor&) const;
    std::int64_t clockOf(const Executor&) const;
    void extendLease(Executor&, std::int64_t until);
    void endRun(Executor&, std::string task, const std::string& how);
    std::string gangOf(const std::string& task, std::uint64_t run) const;
    const StepPlan& planOf(const std::string& task) const;
    /// How a run ends now; empty if it goes on.
    std::string endOf(const Executor&, const std::string& task, const Run&);
    void tick();
    void runTimers();
    HttpResult serveMachines(const HttpRequest&);

    Store& m_store;
    Record& m_record;
    std::mutex m_lock; ///< Guards everything below but the servers' own state.
    std::condition_variable m_changed;
    std::map<std::string, Executor> m_executors;
    std::map<std::string, StepPlan> m_plans; ///< By job and step.
    std::map<std::string, Gang> m_gangs;
    std::vector<std::unique_ptr<HttpServer>> m_closed; ///< Of crashed executors.
    bool m_isClosed = false;
    std::unique_ptr<HttpServer> m_machines;
    std::thread m_timers;
};

} // namespace Review
