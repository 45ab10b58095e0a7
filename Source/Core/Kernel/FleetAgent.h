#pragma once

/// Plans and carries out moves, maintenance waves and disruption budgets of one data centre. Every entry host has one.
/// The holder of the fleet duty plans; the others only carry out moves that operators requested from them.

#include "Decision/Assignment/MoveCoordinator.h"
#include "Decision/Membership/Actions.h"
#include "Decision/Membership/Duty.h"
#include "Decision/Moves/MarginPolicy.h"
#include "Decision/Waves/WavePlanner.h"
#include "Kernel/Settings.h"
#include "Objects/Types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Kernel {

/// Pool loads of one entry host, from its last heartbeat.
struct HostLoads {
    Ports::HostId host;
    std::vector<Messages::PoolLoad> loads;
};

/// Progress of a wave, for operators.
struct WaveStatus {
    std::string wave;
    Decision::WaveProgress progress;
};

/// No I/O: ControlService runs the actions and passes the replies in. Not thread-safe.
class FleetAgent {
public:
    /// Throws KernelError when a core rejects its settings. The settings must outlive the agent.
    FleetAgent(const Settings&, std::uint64_t incarnation);
    ~FleetAgent();

    /// The configuration in force. Recreates the planners and the budget ledger.
    void setObjects(std::shared_ptr<const Objects::ObjectSet>);
    /// The assignments that were read last. A snapshot older than an earlier one is ignored, with an alarm in the audit trail.
    void setSnapshot(Common::Instant now, const Decision::AssignmentSnapshot&);
    /// The platform's host list.
    void setHosts(std::vector<Ports::ListedHost>);
    /// Loads of the alive entry hosts, this one included.
    void setLoads(std::vector<HostLoads>);

    /// Called on each control tick. Plans once a second at most, and only while this host holds the duty.
    void tick(Common::Instant now, Common::WallTime wall, const Decision::DutyContext&);
    /// Takes the reply to a platform call from takeActions().
    void handle(Common::Instant now, const Decision::PlatformReplied&);
    /// Takes a host's answer to an AssignmentQuery from takeActions().
    void handleAssignmentAnswer(const Ports::HostId&, const Messages::AssignmentAnswer&);

    /// Requests a move for an operator. Returns nullopt when it is accepted, otherwise the reason for the refusal.
    std::optional<std::string> requestMove(const std::string& upstream, const std::string& target);

    /// True when the assignments must be read before the next write.
    bool needsRead() const { return m_coordinator.needsRead(); }
    bool holdsDuty(Common::Instant now) const { return m_duty->holds(now); }
    /// Progress of the data centre's waves, from the records read last.
    std::vector<WaveStatus> waves(Common::WallTime) const;
    /// Reads the waves' records on a host without the duty, which doesn't read them otherwise. waves() shows them after the reply.
    void refreshWaves(Common::Instant now);

    /// Platform calls and peer messages, since the last call.
    std::vector<Decision::Action> takeActions();
    /// Steps taken since the last call, for the audit trail.
    std::vector<std::string> takeAuditSteps();

private:
    /// The core that a platform call belongs to.
    enum class CallOrigin {
        Duty,
        Ledger,
        Move,
        Reboot,
    };
    struct PendingCall {
        CallOrigin origin = CallOrigin::Duty;
        Decision::PlatformToken token = 0; ///< The core's own token, restored in the reply.
    };
    /// A move that the margin policy decided on.
    struct PolicyMove {
        Decision::MoveHost move;
        Common::Instant decidedAt {};
    };

    Decision::FleetView fleetView() const;
    Decision::HostView hostView(const std::string& name, const Decision::UpstreamAssignment&, const Objects::Upstream&) const;
    /// Offered load of each pool in slots, and its queue in slot-seconds.
    std::vector<Decision::PoolDemand> demands(Common::Instant now);
    void plan(Common::Instant now, Common::WallTime wall);
    void planWaves(Common::Instant now, Common::WallTime wall, const Decision::FleetView&);
    void planMoves(Common::Instant now, const Decision::FleetView&);
    /// Reserves budget for the policy's moves, starts reserved ones and releases the reservations of finished ones.
    void advancePolicyMoves(Common::Instant now, const Decision::FleetView&);
    Decision::LedgerChange moveChange(Decision::LedgerChange::Kind, const Decision::HostView&) const;
    void carryOut(const Decision::WaveDecision&);
    /// Sends the coordinator's queries and its next write.
    void runCoordinator(Common::Instant now);
    void rebuildPlanners();
    void startCall(CallOrigin, Decision::PlatformAction);
    void startCall(CallOrigin, const std::vector<Decision::PlatformAction>&);
    void addAuditStep(const std::string& step);

    const Settings& m_settings;
    Decision::ProcessId m_self;
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    std::unique_ptr<Decision::DutyHolder> m_duty;
    Decision::MoveCoordinator m_coordinator;
    std::unique_ptr<Decision::BudgetLedger> m_ledger;
    std::map<std::string, std::unique_ptr<Decision::WavePlanner>> m_planners;
    std::unique_ptr<Decision::MarginPolicy> m_policy;
    std::map<std::string, Ports::ListedHost> m_hosts; ///< By address.
    std::vector<HostLoads> m_loads;
    std::map<std::string, double> m_lastQueued; ///< Queued slot-seconds by pool at the last call of demands(), for the arrival rate.
    Common::Instant m_lastDemand {};
    std::map<std::string, PolicyMove> m_policyMoves; ///< By upstream.
    std::map<std::string, std::string> m_operatorMoves; ///< Target by upstream.
    std::map<std::string, std::string> m_lastAuditSteps; ///< By upstream; a repeated step is recorded once.
    Common::Instant m_nextPlan {};
    Common::Instant m_nextQuery {};
    std::map<Decision::PlatformToken, PendingCall> m_pendingCalls;
    Decision::PlatformToken m_nextToken = 1;
    std::vector<Decision::Action> m_actions;
    std::vector<std::string> m_auditSteps;
};

} // namespace Kernel
