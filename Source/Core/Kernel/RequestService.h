#pragma once

/// Runs the request core between its ports. Lock order: ControlService's lock before this one's; ports below both.

#include "Decision/Assignment/AssignmentTable.h"
#include "Decision/Requests/RequestCore.h"
#include "Kernel/Metrics.h"
#include "Kernel/Settings.h"
#include "Kernel/WorkerPool.h"
#include "Ports/CallerPort.h"
#include "Ports/PeerPort.h"
#include "Ports/UpstreamPort.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Kernel {

/// The ports that the request path uses; all outlive the service.
struct RequestPorts {
    Ports::CallerPort& callers;
    Ports::UpstreamPort& upstreams;
    Ports::PeerPort& peers;
};

/// Owns the request core and the assignment table, guards them by one lock and carries their actions out in order.
/// Arrivals, results and peers' messages are decided on the thread that brings them: each hand-over to another
/// thread costs a wake-up. What an adapter may report from within a call of this service goes through the workers.
class RequestService : public Ports::CallerSink, public Ports::UpstreamSink {
public:
    /// A change to the core, made under the lock; its actions are carried out before the lock is given up.
    using Step = std::function<void(Decision::RequestCore&, Decision::Moment)>;

    static std::unique_ptr<RequestService> create(const Settings&, std::uint64_t incarnation, const RequestPorts&, WorkerPool&, Metrics&);

    void onCallerRequest(Ports::CallerRequest) override;
    void onCallerDisconnected(Ports::CallerHandle) override;
    bool cancelByKey(const std::string& team, const std::string& idempotencyKey) override;
    bool isReady() override { return m_ready; }
    void onAttemptEnded(Ports::UpstreamResult) override;

    /// Runs a step at once, on the calling thread.
    void run(const Step&);
    /// Reads or changes the assignment table under the lock.
    void withTable(const std::function<void(Decision::AssignmentTable&)>&);

    void peerMessage(const Ports::HostId& from, const Messages::PeerMessage&);
    /// The connection to a peer broke: what waited for its answer is decided anew.
    void peerLost(const Ports::HostId&);
    void setReady(bool);
    std::vector<Messages::PoolLoad> loads();
    bool memoryWhole();
    std::size_t open();
    std::optional<Common::Instant> nextDeadline();
    void publishMetrics();

private:
    struct Asked {
        Common::Instant at {};
    };

    RequestService(const Settings&, std::uint64_t incarnation, const RequestPorts&, WorkerPool&, Metrics&);
    /// Runs a step on a thread of an adapter, which an exception must not reach.
    void runForAdapter(const Step&);
    void takeResult(const Ports::UpstreamResult&);
    void carryOut(Decision::RequestAction&);
    void answer(const Decision::AnswerCaller&);
    void dispatch(Decision::DispatchAttempt&);
    void noteEnd(const Ports::UpstreamResult&);

    RequestPorts m_ports;
    WorkerPool& m_workers;
    Metrics& m_metrics;
    std::atomic<bool> m_ready { false };
    std::mutex m_lock; ///< Guards everything below.
    std::unique_ptr<Decision::RequestCore> m_core;
    Decision::AssignmentTable m_table;
    std::unordered_map<Ports::AttemptId, std::string> m_upstreamOf;
    std::unordered_map<Ports::AttemptId, Common::Instant> m_runsUntil;
    std::unordered_map<Ports::CallerHandle, Asked> m_asked;
};

/// Both clocks now.
Decision::Moment momentNow();

} // namespace Kernel
