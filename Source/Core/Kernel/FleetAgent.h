#pragma once

/// Moves, maintenance waves and budgets of one data centre, as the duty holder carries them out. Every entry host has
/// one; the one that holds the duty plans, the others only carry out moves that operators asked them for.

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

/// What one entry host said about the pools that it works for.
struct HostLoads {
    Ports::HostId host;
    std::vector<Messages::PoolLoad> loads;
};

/// Progress of a wave for operators.
struct WaveStatus {
    std::string wave;
    Decision::WaveProgress progress;
};

/// Plans and carries out. No I/O; not thread-safe.
class FleetAgent {
public:
    FleetAgent(const Settings&, std::uint64_t incarnation);
    ~FleetAgent();

    void setObjects(std::shared_ptr<const Objects::ObjectSet>);
    void setSnapshot(Common::Instant now, const Decision::AssignmentSnapshot&);
    void setHosts(std::vector<Ports::ListedHost>);
    void setLoads(std::vector<HostLoads>);

    void tick(Common::Instant now, Common::WallTime wall, const Decision::DutyContext&);
    void handle(Common::Instant now, const Decision::PlatformReplied&);
    void handleAnswer(const Ports::HostId&, const Messages::AssignmentAnswer&);

    /// An operator's move. Nothing when it was taken, else what is wrong with it.
    std::optional<std::string> requestMove(const std::string& upstream, const std::string& target);

    /// True when the assignments should be read before anything else.
    bool wantsRead() const { return m_coordinator.wantsRead(); }
    bool holdsDuty(Common::Instant now) const { return m_duty->holds(now); }
    std::vector<WaveStatus> waves(Common::WallTime) const;
    /// Has a host without the duty read the waves' records, which it otherwise doesn't; waves() shows them soon after.
    void refreshWaves(Common::Instant now);

    std::vector<Decision::Action> takeActions();
    /// Steps taken since the last call, for the audit trail.
    std::vector<std::string> takeNotes();

private:
    /// Which of the inner cores a platform call belongs to.
    enum class Part {
        Duty,
        Ledger,
        Move,
        Reboot,
    };
    struct Pending {
        Part part = Part::Duty;
        Decision::PlatformToken token = 0;
    };
    /// A move that the margin policy decided.
    struct OrderedMove {
        Decision::MoveHost move;
        Common::Instant orderedAt {};
    };

    Decision::FleetView view() const;
    Decision::HostView hostView(const std::string& name, const Decision::UpstreamAssignment&, const Objects::Upstream&) const;
    std::vector<Decision::PoolDemand> demands(Common::Instant now);
    void plan(Common::Instant now, Common::WallTime wall);
    void planWaves(Common::Instant now, Common::WallTime wall, const Decision::FleetView&);
    void planMoves(Common::Instant now, const Decision::FleetView&);
    void advanceMoves(Common::Instant now, const Decision::FleetView&);
    Decision::LedgerChange moveChange(Decision::LedgerChange::Kind, const Decision::HostView&) const;
    void carryOut(const Decision::WaveDecision&);
    void driveMoves(Common::Instant now);
    void rebuildPlanners();
    void call(Part, Decision::PlatformAction);
    void call(Part, const std::vector<Decision::PlatformAction>&);
    void note(const std::string& step);

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
    std::map<std::string, double> m_lastQueued; ///< Slot-seconds by pool, for the rate of arrival.
    Common::Instant m_lastDemand {};
    std::map<std::string, OrderedMove> m_moves;
    std::map<std::string, std::string> m_operatorMoves; ///< Target by upstream.
    std::map<std::string, std::string> m_lastNotes;
    Common::Instant m_nextPlan {};
    Common::Instant m_nextQuery {};
    std::map<Decision::PlatformToken, Pending> m_pending;
    Decision::PlatformToken m_nextToken = 1;
    std::vector<Decision::Action> m_actions;
    std::vector<std::string> m_notes;
};

} // namespace Kernel
