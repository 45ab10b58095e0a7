#pragma once

/// Stand-in for an executor, as PROTOCOL.md describes it: runs tasks by timers under a lease, checks fencing tokens and run numbers,
/// lists ends until they are acknowledged, and may crash and start again under its id.

#include "Record.h"
#include "Standins/HttpServer.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <string>

namespace Review {

using std::chrono::milliseconds;

struct ExecutorSettings {
    std::string id;
    std::string machine;
    std::string rack;
    std::string service;
    std::int64_t milliCores = 8000;
    milliseconds stopTime { 300 }; ///< From a stop to the end of the run; below stopTimeoutMs.
};

/// Used on the loop's thread only.
class Executor {
public:
    Executor(Adapters::EventLoop&, Record&, TaskLedger&, ExecutorSettings);

    /// The entry that the executor writes into the store.
    Json::Value entry();
    const ExecutorSettings& settings() const { return m_settings; }
    bool isUp() const { return m_isUp; }
    /// Number of runs that have ended here in this life.
    std::uint64_t ends() const { return m_lastEnd; }
    std::size_t runs() const { return m_runs.size(); }
    /// The process ends: its connections are reset, and all that it ran and knew is gone.
    void crash();
    /// The process starts again under the same id and address, or under another id when one is given.
    void restart(const std::string& id = {});
    void shutdown();
    /// Called after a run has started here.
    std::function<void(const std::string& task)> onStarted;
    /// Called when a stop has reached a run here.
    std::function<void(const std::string& task)> onStopped;

private:
    struct Run {
        std::uint64_t number = 0;
        std::int64_t milliCores = 0;
        Common::Instant startedAt {};
        milliseconds length { 0 };
        Common::TaskLoop::TimerId timer = 0;
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    void serve(const Standins::ExchangePtr&);
    void start(const Standins::ExchangePtr&, const Json::Value& body);
    void stop(const Standins::ExchangePtr&, const Json::Value& body);
    void hold(const Standins::ExchangePtr&, const Json::Value& body);
    void refuse(const Standins::ExchangePtr&, const char* reason) const;
    Json::Value answer() const;
    bool acceptFence(const Json::Value& body);
    void extendLease(std::int64_t until);
    void end(const std::string& task, const std::string& how);
    void answerPoll();
    std::int64_t clock() const;

    Adapters::EventLoop& m_loop;
    Record& m_record;
    TaskLedger& m_ledger;
    ExecutorSettings m_settings;
    std::unique_ptr<Standins::HttpServer> m_server;
    bool m_isUp = true;
    std::uint64_t m_sequence = 0;
    std::int64_t m_born = 0; ///< Unix milliseconds.
    Common::Instant m_startedAt {};
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0; ///< On the executor's clock.
    Common::TaskLoop::TimerId m_leaseTimer = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highestRuns; ///< By task: highest run that was stopped or has ended.
    std::deque<End> m_ends; ///< Not acknowledged yet.
    std::uint64_t m_lastEnd = 0;
    Standins::ExchangePtr m_poll; ///< The call that waits for an end.
    Common::TaskLoop::TimerId m_pollTimer = 0;
};

} // namespace Review
