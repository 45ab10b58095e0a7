#pragma once

/// A named duty that one host at a time holds under its lease, like an elected leader, with fenced writes.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Membership/DecisionError.h"
#include "Decision/Membership/PlatformActions.h"
#include "Ports/PeerPort.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// Value of a duty's key, which the store deletes when the holder's lease ends.
struct DutyRecord {
    Ports::HostId holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0; ///< Fencing token; higher for every later holder.
    Ports::LeaseId lease = 0;
};

/// Store key of the duty with this name.
std::string dutyKey(const std::string& name);
std::string encodeDuty(const DutyRecord&);
/// Nothing when the text isn't a valid record.
std::optional<DutyRecord> decodeDuty(std::string_view);

/// A duty and the host that competes for it.
struct DutySettings {
    std::string name; ///< For example "moves/imlil".
    Ports::HostId self;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds pollInterval { 2000 }; ///< Between reads of the key by a candidate that doesn't hold the duty.
};

/// Safeguards, all on in production. Tests turn one off to show what it prevents.
struct DutyGuards {
    bool fence = true; ///< The holder's writes compare the duty's key, so they fail once it has changed.
};

/// Membership state that a duty depends on.
struct DutyContext {
    std::optional<Ports::LeaseId> lease; ///< Membership::lease(now); nothing while no lease is valid.
    Common::Instant leaseValidUntil {};
    std::vector<Ports::HostId> aliveMembers;
};

/// Competes for a duty and holds it. The caller runs the actions and returns the replies. No I/O; not thread-safe.
class DutyHolder {
public:
    /// Fails when the duty's name or the host's is empty.
    static Common::Result<std::unique_ptr<DutyHolder>, DecisionError> create(DutySettings, DutyGuards = {});

    /// Stops holding the duty when the lease has changed; reads the key when a poll is due and this host is a candidate.
    void tick(Common::Instant now, const DutyContext&);
    /// Ignores replies to calls that this core didn't make.
    void handle(Common::Instant now, const PlatformReplied&);
    /// To be called when a fenced write failed its compares: another host may hold the duty, so this one doesn't count as the
    /// holder until it has read the key again.
    void invalidate(Common::Instant now);
    /// Gives the duty up by deleting its key; this host doesn't poll for two poll intervals.
    void resign(Common::Instant now);

    /// True while this host holds the duty and its lease is valid by its own clock.
    bool holds(Common::Instant now) const;
    /// Fencing token; higher for every later holder. Zero when this host doesn't hold the duty.
    std::uint64_t fence() const { return m_held ? m_record.fence : 0; }
    /// Adds a compare to the transaction that fails once the duty's key has changed.
    Ports::Transaction fencedTransaction(Ports::Transaction) const;

    /// When tick() is due at the latest; nothing while a call is in flight.
    std::optional<Common::Instant> nextDeadline() const;
    /// Store calls to make since the last takeActions().
    std::vector<PlatformAction> takeActions();

private:
    DutyHolder(DutySettings, DutyGuards);
    void read();
    void onRead(Common::Instant now, const Ports::PlatformReply&);
    void acquire(const Ports::PlatformReply&);
    bool isCandidate() const;

    enum class Call {
        None,
        Read,
        Acquire,
        Resign,
    };

    DutySettings m_settings;
    DutyGuards m_guards;
    DutyContext m_context;
    Call m_call = Call::None;
    PlatformToken m_token = 0;
    PlatformToken m_nextToken = 1;
    Common::Instant m_nextPoll {};
    bool m_held = false;
    DutyRecord m_record;
    std::int64_t m_modRevision = -1; ///< Of the duty's key; the initial value matches no key.
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
