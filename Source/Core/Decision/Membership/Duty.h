#pragma once

/// A named duty that one host at a time holds under its lease, with fenced writes.

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

/// Value of a duty's key; the key lives as long as its holder's lease.
struct DutyRecord {
    Ports::HostId holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0; ///< Higher for every later holder.
    Ports::LeaseId lease = 0;
};

std::string dutyKey(const std::string& name);
std::string encodeDuty(const DutyRecord&);
std::optional<DutyRecord> decodeDuty(std::string_view);

/// A duty and the host that tries for it.
struct DutySettings {
    std::string name; ///< For example "moves/imlil".
    Ports::HostId self;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds pollInterval { 2000 }; ///< Of those who may take over.
};

/// Safeguards; a test turns one off to show that its absence does harm.
struct DutyGuards {
    bool fence = true; ///< Writes of the holder compare the duty's key.
};

/// What a duty needs from membership.
struct DutyContext {
    std::optional<Ports::LeaseId> lease; ///< Membership::lease(now).
    Common::Instant leaseValidUntil {};
    std::vector<Ports::HostId> aliveMembers;
};

/// Tries for a duty, and holds it. No I/O; not thread-safe.
class DutyHolder {
public:
    static Common::Result<std::unique_ptr<DutyHolder>, DecisionError> create(DutySettings, DutyGuards = {});

    void tick(Common::Instant now, const DutyContext&);
    void handle(Common::Instant now, const PlatformReplied&);
    /// A fenced write failed its compares: the duty may have passed on, so it is read again before it is used.
    void invalidate(Common::Instant now);
    /// Gives the duty up.
    void resign(Common::Instant now);

    /// True while this host holds the duty as far as it can know.
    bool holds(Common::Instant now) const;
    /// Number of this holding; higher for every later holder. Zero when not held.
    std::uint64_t fence() const { return m_held ? m_record.fence : 0; }
    /// The transaction with a compare added that fails once the duty has passed on.
    Ports::Transaction fencedTransaction(Ports::Transaction) const;

    std::optional<Common::Instant> nextDeadline() const;
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
    std::int64_t m_modRevision = -1; ///< Of the duty's key; no key ever has the initial one.
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
