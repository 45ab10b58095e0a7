#pragma once

/// Runs the request core between the callers, the upstreams and the peers. Lock order: ControlService's lock, then this
/// service's, then the ports'.

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

/// Ports of the request path; all must outlive the service.
struct RequestPorts {
    Ports::CallerPort& callers;
    Ports::UpstreamPort& upstreams;
    Ports::PeerPort& peers;
};

/// Owns the request core and the assignment table, guards both by one lock and carries out the core's actions in order.
/// Arrivals, results and peer messages are handled on the thread that delivers them, because each hand-over to another
/// thread costs a wake-up. Events that an adapter may report from within a call of this service go through the workers.
/// Thread-safe.
class RequestService : public Ports::CallerSink, public Ports::UpstreamSink {
public:
    /// A change to the core, made under the lock; the resulting actions are carried out before the lock is released.
    using Step = std::function<void(Decision::RequestCore&, Decision::Moment)>;

    /// Throws KernelError when the assignment table rejects its settings. Everything passed by reference must outlive the
    /// service.
    static std::unique_ptr<RequestService> create(const Settings&, std::uint64_t incarnation, const RequestPorts&, WorkerPool&, Metrics&);

    void onCallerRequest(Ports::CallerRequest) override;
    void onCallerDisconnected(Ports::CallerHandle) override;
    bool cancelByKey(const std::string& team, const std::string& idempotencyKey) override;
    bool isReady() override { return m_ready; }
    void onAttemptEnded(Ports::UpstreamResult) override;

    /// Runs a step on the calling thread. Exceptions of the step reach the caller.
    void run(const Step&);
    /// Reads or changes the assignment table under the lock.
    void withTable(const std::function<void(Decision::AssignmentTable&)>&);

    /// A message of a peer's request core, or its heartbeat; from ControlService.
    void peerMessage(const Ports::HostId& from, const Messages::PeerMessage&);
    /// The connection to a peer broke: requests that wait for its answer are rerouted or answered.
    void peerLost(const Ports::HostId&);
    /// What isReady() tells the callers' adapter, and the metric; from ControlService.
    void setReady(bool);
    /// Load of each pool on this host, for heartbeats and the planner.
    std::vector<Messages::PoolLoad> loads();
    /// True once this host's claim records are complete; it isn't ready before.
    bool hasCompleteLedger();
    /// Requests without an answer plus attempts without an end; a drain waits for zero.
    std::size_t inFlight();
    /// When the core needs its next tick at the latest.
    std::optional<Common::Instant> nextDeadline();
    /// Copies queue lengths, slots and the size of the ledger to the metrics, once per scrape.
    void publishMetrics();

private:
    struct OpenRequest {
        Common::Instant arrivedAt {};
    };

    struct OpenAttempt {
        std::string requestId;
        std::string upstream;
        Common::Instant startedAt {};
        Common::Instant deadline {};
    };

    RequestService(const Settings&, std::uint64_t incarnation, const RequestPorts&, WorkerPool&, Metrics&);
    /// Runs a step on a thread of an adapter. Exceptions are logged and don't reach the adapter.
    void runForAdapter(const Step&);
    void handleResult(const Ports::UpstreamResult&);
    void carryOut(Decision::RequestAction&);
    void answer(const Decision::AnswerCaller&);
    void dispatch(Decision::DispatchAttempt&);
    void recordAttemptEnd(const Ports::UpstreamResult&);

    RequestPorts m_ports;
    WorkerPool& m_workers;
    Metrics& m_metrics;
    std::atomic<bool> m_ready { false };
    std::mutex m_lock; ///< Guards everything below.
    std::unique_ptr<Decision::RequestCore> m_core;
    Decision::AssignmentTable m_table;
    std::unordered_map<Ports::AttemptId, OpenAttempt> m_openAttempts;
    std::unordered_map<Ports::CallerHandle, OpenRequest> m_openRequests;
};

/// Current time on both clocks.
Decision::Moment momentNow();

} // namespace Kernel
